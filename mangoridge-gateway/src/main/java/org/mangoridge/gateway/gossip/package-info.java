/** Gossip of load reports between instances: membership, relays and the datagrams that carry the reports. */
package org.mangoridge.gateway.gossip;
