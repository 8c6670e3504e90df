/** Leases, and orders to engines given by their holders. */
package org.mangoridge.orders;
