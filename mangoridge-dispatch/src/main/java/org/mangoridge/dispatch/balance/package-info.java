/** Load balancing, queueing and retry limits; without I/O, and with time passed in by the caller. */
package org.mangoridge.dispatch.balance;
