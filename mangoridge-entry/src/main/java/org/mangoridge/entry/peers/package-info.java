/** Cluster membership of this instance: gossip with peers, their configuration, and cleanup after dead peers. */
package org.mangoridge.entry.peers;
