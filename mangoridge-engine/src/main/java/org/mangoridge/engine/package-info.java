/** Interfaces, messages and errors for calls to model engines. */
package org.mangoridge.engine;
