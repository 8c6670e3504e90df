/** Instances tell each other of the load that they put on servers. */
package org.mangoridge.gateway.gossip;
