package org.mangoridge.gateway.node;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.gateway.directory.ServerEntry;
import org.mangoridge.gateway.exchange.GatewayContext;
import org.mangoridge.gateway.follow.FeedListener;

/** Keeps the directory of servers as the store tells, and logs what changes. */
final class ServerEvents implements FeedListener<ServerEntry> {

    private final GatewayContext context;
    private final Runnable roomMayHaveCome;
    private boolean listed;
    private Optional<Boolean> reachable = Optional.empty();

    ServerEvents(GatewayContext context, Runnable roomMayHaveCome) {
        this.context = context;
        this.roomMayHaveCome = roomMayHaveCome;
    }

    boolean listed() {
        return listed;
    }

    @Override
    public void replaced(List<ServerEntry> items) {
        listed = true;
        Set<ServerId> known = new HashSet<>();
        context.directory().all().forEach(entry -> known.add(entry.id()));
        items.stream().filter(entry -> !known.contains(entry.id())).forEach(this::logListed);
        context.directory().replaceAll(items, context.clock().elapsed()).forEach(this::noLongerUsable);
        retainTracks();
        roomMayHaveCome.run();
    }

    @Override
    public void put(ServerEntry item) {
        if (context.directory().find(item.id()).isEmpty()) {
            logListed(item);
        }
        context.directory().put(item).ifPresent(this::noLongerUsable);
        roomMayHaveCome.run();
    }

    @Override
    public void removed(String name) {
        context.directory().remove(ServerId.of(name), context.clock().elapsed()).ifPresent(this::noLongerUsable);
    }

    @Override
    public void reachable(boolean now, String detail) {
        context.directory().storeReachable(now, context.clock().elapsed());
        if (reachable.isEmpty() || reachable.get() != now) {
            reachable = Optional.of(now);
            context.log().log(
                    now ? LogEvent.PLATFORM_BACK : LogEvent.PLATFORM_UNAVAILABLE,
                    Field.of("what", "servers"),
                    Field.of("detail", detail));
        }
    }

    /** Lets go of servers whose entries lapsed and did not come back. */
    void expire(Duration now) {
        context.directory().expire(now).forEach(this::noLongerUsable);
    }

    private void logListed(ServerEntry entry) {
        context.log().log(
                LogEvent.SERVER_LISTED,
                Field.of("server", entry.id()),
                Field.of("service", entry.service()),
                Field.of("address", entry.address()),
                Field.of("zone", entry.zone()),
                Field.of("stage", entry.stage()),
                Field.of("leaving", entry.leaving()));
    }

    private void noLongerUsable(ServerEntry entry) {
        boolean gone = context.directory().find(entry.id()).isEmpty();
        context.pool().evict(entry.address());
        context.log().log(
                gone ? LogEvent.SERVER_GONE : LogEvent.SERVER_LEAVING,
                Field.of("server", entry.id()),
                Field.of("service", entry.service()),
                Field.of("address", entry.address()));
    }

    private void retainTracks() {
        Set<ServerId> known = new HashSet<>();
        context.directory().all().forEach(entry -> known.add(entry.id()));
        context.serverHealth().retain(known);
    }
}
