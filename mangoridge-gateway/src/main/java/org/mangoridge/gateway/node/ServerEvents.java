package org.mangoridge.gateway.node;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.dispatch.balance.ServerPace;
import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.directory.ServerRun;
import org.mangoridge.dispatch.follow.FeedListener;
import org.mangoridge.gateway.exchange.GatewayContext;

/** Updates the server directory from the store and logs the changes. */
final class ServerEvents implements FeedListener<ServerEntry> {

    private final GatewayContext context;
    private final Runnable onCapacityChange;
    private boolean hasServerList;
    private Optional<Boolean> reachable = Optional.empty();
    private Duration unreachableSince = Duration.ZERO;

    ServerEvents(GatewayContext context, Runnable onCapacityChange) {
        this.context = context;
        this.onCapacityChange = onCapacityChange;
    }

    boolean hasServerList() {
        return hasServerList;
    }

    @Override
    public void replaced(List<ServerEntry> items) {
        Set<ServerId> known = new HashSet<>();
        Set<ServerRun> runs = new HashSet<>();
        for (ServerEntry entry : context.directory().all()) {
            known.add(entry.id());
            runs.add(ServerRun.of(entry));
        }
        items.stream().filter(entry -> !known.contains(entry.id())).forEach(this::logListed);
        context.directory().replaceAll(items, context.clock().elapsed()).forEach(this::handleUnusable);
        if (hasServerList) {
            context.directory().all().forEach(entry -> paceIfStarted(entry, runs));
        }
        hasServerList = true;
        known.forEach(this::logIfMissing);
        retainTracks();
        onCapacityChange.run();
    }

    @Override
    public void put(ServerEntry item) {
        Optional<ServerEntry> before = context.directory().find(item.id());
        if (before.isEmpty()) {
            logListed(item);
        }
        context.directory().put(item).ifPresent(this::handleUnusable);
        Set<ServerRun> runs = before.map(ServerRun::of).map(Set::of).orElse(Set.of());
        context.directory().find(item.id()).ifPresent(entry -> paceIfStarted(entry, runs));
        onCapacityChange.run();
    }

    @Override
    public void removed(String name) {
        ServerId id = ServerId.of(name);
        context.directory().remove(id, context.clock().elapsed()).ifPresent(this::handleUnusable);
        logIfMissing(id);
    }

    @Override
    public void reachable() {
        Duration now = context.clock().elapsed();
        context.directory().storeReachable(now);
        if (!reachable.orElse(false)) {
            Duration outage = reachable.isEmpty() ? Duration.ZERO : now.minus(unreachableSince);
            context.log().log(LogEvent.PLATFORM_BACK, Field.of("what", "servers"), Field.of("after_ms", outage));
        }
        reachable = Optional.of(true);
    }

    @Override
    public void unreachable(Duration asOf, String detail) {
        context.directory().storeUnreachable(asOf);
        if (reachable.orElse(true)) {
            unreachableSince = context.clock().elapsed();
            context.log().log(LogEvent.PLATFORM_UNAVAILABLE, Field.of("what", "servers"), Field.of("detail", detail));
        }
        reachable = Optional.of(false);
    }

    /** Keeps servers whose entries the store lost when it was restored, until they had time to write them again. */
    void storeRestored() {
        context.directory().storeRestored(context.clock().elapsed());
    }

    /** Removes servers whose entries have been missing from the store for too long. */
    void expire(Duration now) {
        context.directory().expire(now).forEach(this::handleUnusable);
    }

    /** Paces a server whose run was not listed before; those of the first list may have run for long. */
    private void paceIfStarted(ServerEntry entry, Set<ServerRun> before) {
        if (!entry.leaving() && !before.contains(ServerRun.of(entry))) {
            context.serverPace().begin(entry.id(), ServerPace.Cause.STARTED, context.now());
        }
    }

    private void logListed(ServerEntry entry) {
        context.crashGuard().listed(entry);
        context.log().log(
                LogEvent.SERVER_LISTED,
                Field.of("server", entry.id()),
                Field.of("service", entry.service()),
                Field.of("address", entry.address()),
                Field.of("zone", entry.zone()),
                Field.of("stage", entry.stage()),
                Field.of("leaving", entry.leaving()));
    }

    private void logIfMissing(ServerId id) {
        context.directory()
                .keptUntil(id)
                .ifPresent(until -> context.log().log(
                        LogEvent.SERVER_ENTRY_MISSING,
                        Field.of("server", id),
                        Field.of("for_ms", until.minus(context.clock().elapsed()))));
    }

    private void handleUnusable(ServerEntry entry) {
        boolean gone = context.directory().find(entry.id()).isEmpty();
        context.serverPace().remove(entry.id());
        context.calls().evict(entry.address());
        context.log().log(
                gone ? LogEvent.SERVER_GONE : LogEvent.SERVER_LEAVING,
                Field.of("server", entry.id()),
                Field.of("service", entry.service()),
                Field.of("address", entry.address()));
    }

    private void retainTracks() {
        Set<ServerId> known = new HashSet<>();
        Set<ServerRun> runs = new HashSet<>();
        for (ServerEntry entry : context.directory().all()) {
            known.add(entry.id());
            runs.add(ServerRun.of(entry));
        }
        context.serverHealth().retain(known);
        context.limiter().retain(runs, context.clock().elapsed());
    }
}
