/** Group membership and failure detection by gossip, as a state machine without I/O. */
package org.mangoridge.peer.membership;
