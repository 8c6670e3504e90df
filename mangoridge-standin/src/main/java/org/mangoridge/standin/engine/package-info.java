/** A stand-in for a model engine. */
package org.mangoridge.standin.engine;
