/** The event loop whose single thread owns the control state: routing, membership, orders, accounting and shutdown. */
package org.mangoridge.entry.control;
