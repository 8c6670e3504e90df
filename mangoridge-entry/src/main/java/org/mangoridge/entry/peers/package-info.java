/** How this instance takes part among the others: membership, gossip and what follows from a peer's end. */
package org.mangoridge.entry.peers;
