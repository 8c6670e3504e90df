/** Keeps requests that crash servers away from them, by evidence that instances share. */
package org.mangoridge.dispatch.quarantine;
