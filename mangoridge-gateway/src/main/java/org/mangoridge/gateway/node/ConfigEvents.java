package org.mangoridge.gateway.node;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.dispatch.config.GatewayConfig;
import org.mangoridge.dispatch.follow.FeedListener;
import org.mangoridge.gateway.exchange.GatewayMetrics;
import org.mangoridge.gateway.exchange.RequestRouter;
import org.mangoridge.gateway.log.EventSink;

/** Adopts each configuration that the store delivers; one that is removed from the store stays in force. */
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
        log.log(
                LogEvent.CONFIGURATION_REJECTED,
                Field.of("detail", "removed from the store; the last configuration stays in force"));
    }

    @Override
    public void reachable() {
        if (!reachable.orElse(false)) {
            log.log(LogEvent.PLATFORM_BACK, Field.of("what", "configuration"));
        }
        reachable = Optional.of(true);
    }

    @Override
    public void unreachable(Duration asOf, String detail) {
        if (reachable.orElse(true)) {
            log.log(LogEvent.PLATFORM_UNAVAILABLE, Field.of("what", "configuration"), Field.of("detail", detail));
        }
        reachable = Optional.of(false);
    }
}
