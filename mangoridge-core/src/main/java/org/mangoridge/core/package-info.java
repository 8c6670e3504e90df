/** Argument checks and the result type used by every module. */
package org.mangoridge.core;
