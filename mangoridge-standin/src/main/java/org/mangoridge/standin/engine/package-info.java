/** A stand-in for a model engine that simulates its timing, capacity and faults. */
package org.mangoridge.standin.engine;
