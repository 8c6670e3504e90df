/** When to release what instances that are gone still hold at backend servers: a pure state machine. */
package org.mangoridge.peer.orphan;
