package org.mangoridge.gateway.node;

import org.mangoridge.gateway.config.GatewayConfig;
import org.mangoridge.gateway.directory.ServerEntry;
import org.mangoridge.gateway.follow.ObjectFeed;
import org.mangoridge.gateway.stage.LeaseStore;
import org.mangoridge.gateway.stage.StageOrderSender;

/**
 * Where an instance learns of its configuration and of servers, and how it orders servers to change.
 *
 * @param configs the configuration, one object
 * @param servers the servers
 * @param orders gives orders to servers
 * @param lease keeps the lease of orders
 */
public record GatewayFeeds(
        ObjectFeed<GatewayConfig> configs,
        ObjectFeed<ServerEntry> servers,
        StageOrderSender orders,
        LeaseStore lease) {}
