package org.mangoridge.gateway.node;

import io.netty.channel.EventLoop;
import org.mangoridge.dispatch.config.GatewayConfig;
import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.follow.ObjectFeed;
import org.mangoridge.dispatch.follow.StoreEra;
import org.mangoridge.gateway.exchange.ServerCalls;
import org.mangoridge.gateway.net.BufferMemory;
import org.mangoridge.gateway.net.RequestSender;
import org.mangoridge.gateway.stage.LeaseStore;
import org.mangoridge.gateway.stage.StageOrderSender;

/**
 * The connections of an instance to the platform: feeds of configuration and servers, and orders to servers.
 *
 * @param configs feed of the configuration, a single object
 * @param servers feed of the server entries
 * @param orders sends stage orders to servers
 * @param lease stores the lease whose holder may send orders
 * @param era the era of the store
 */
public record GatewayFeeds(
        ObjectFeed<GatewayConfig> configs,
        ObjectFeed<ServerEntry> servers,
        StageOrderSender orders,
        LeaseStore lease,
        StoreEra era) {

    /** Creates the connections on the event loop of an instance. */
    @FunctionalInterface
    public interface Factory {

        /**
         * Returns the connections.
         *
         * @param store sends requests to the store
         * @param servers makes calls to servers
         * @param buffers bounds the memory of all answers
         */
        GatewayFeeds create(EventLoop loop, RequestSender store, ServerCalls servers, BufferMemory buffers);
    }
}
