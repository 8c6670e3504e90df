package org.mangoridge.gateway.node;

import java.util.List;
import java.util.Optional;

import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.gateway.config.GatewayConfig;
import org.mangoridge.gateway.exchange.GatewayMetrics;
import org.mangoridge.gateway.exchange.RequestRouter;
import org.mangoridge.gateway.follow.FeedListener;
import org.mangoridge.gateway.log.EventSink;

/** Puts configurations in force as the store gives them; a removed one stays in force. */
final class ConfigEvents implements FeedListener<GatewayConfig> {

    private final RequestRouter router;
    private final EventSink log;
    private final GatewayMetrics metrics;
    private Optional<Boolean> reachable = Optional.empty();

    ConfigEvents(RequestRouter router, EventSink log, GatewayMetrics metrics) {
        this.router = router;
        this.log = log;
        this.metrics = metrics;
    }

    @Override
    public void replaced(List<GatewayConfig> items) {
        items.forEach(this::put);
    }

    @Override
    public void put(GatewayConfig item) {
        if (router.adopt(item)) {
            metrics.count("configurations.adopted");
            log.log(
                    LogEvent.CONFIGURATION_ADOPTED,
                    Field.of("version", item.version()),
                    Field.of("routes", item.routeCount()));
        }
    }

    @Override
    public void removed(String name) {
        log.log(LogEvent.CONFIGURATION_REJECTED, Field.of("detail", "removed from the store; the last one stays"));
    }

    @Override
    public void reachable(boolean now, String detail) {
        if (reachable.isEmpty() || reachable.get() != now) {
            reachable = Optional.of(now);
            log.log(
                    now ? LogEvent.PLATFORM_BACK : LogEvent.PLATFORM_UNAVAILABLE,
                    Field.of("what", "configuration"),
                    Field.of("detail", detail));
        }
    }
}
