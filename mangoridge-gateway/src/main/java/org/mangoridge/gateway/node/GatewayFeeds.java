package org.mangoridge.gateway.node;

import org.mangoridge.gateway.config.GatewayConfig;
import org.mangoridge.gateway.directory.ServerEntry;
import org.mangoridge.gateway.follow.ObjectFeed;

/**
 * Where an instance learns of its configuration and of servers.
 *
 * @param configs the configuration, one object
 * @param servers the servers
 */
public record GatewayFeeds(ObjectFeed<GatewayConfig> configs, ObjectFeed<ServerEntry> servers) {}
