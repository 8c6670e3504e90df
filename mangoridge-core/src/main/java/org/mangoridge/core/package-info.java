/** Argument checks and the result type that every module uses. */
package org.mangoridge.core;
