package org.mangoridge.gateway.node;

import java.time.Duration;

import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.dispatch.balance.ServerPace;
import org.mangoridge.gateway.exchange.GatewayContext;

/** Paces servers whose pauses end, and logs and counts which servers are paced. */
final class PaceEvents implements ServerPace.Listener {

    private final GatewayContext context;

    private PaceEvents(GatewayContext context) {
        this.context = context;
    }

    /** Observes the servers of an instance from now on. */
    static void observe(GatewayContext context) {
        ServerPace pace = context.serverPace();
        pace.onChange(new PaceEvents(context));
        context.metrics().show("servers.paced", pace::pacedServers);
        context.calls()
                .onPause((server, pause) -> pace.begin(
                        server.id(), ServerPace.Cause.PAUSED, context.now().plus(pause)));
    }

    @Override
    public void begun(ServerId server, ServerPace.Cause cause) {
        context.metrics().count("paces.begun");
        context.log().log(LogEvent.SERVER_PACED, Field.of("server", server), Field.of("cause", cause));
    }

    @Override
    public void ended(ServerId server, ServerPace.Cause cause, Duration after) {
        context.metrics().count("paces.ended");
        context.log().log(
                LogEvent.SERVER_PACED,
                Field.of("server", server),
                Field.of("cause", cause),
                Field.of("full_after_ms", after));
    }
}
