/** Connects the lease and order machines to the object store, the engines and the timer of the control thread. */
package org.mangoridge.entry.orders;
