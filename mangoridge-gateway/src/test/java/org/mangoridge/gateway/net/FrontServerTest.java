package org.mangoridge.gateway.net;

import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import io.netty.channel.nio.NioEventLoopGroup;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.VirtualClock;
import org.mangoridge.dispatch.config.CallerLimits;

import static com.google.common.truth.Truth.assertThat;

class FrontServerTest {

    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final VirtualClock clock = VirtualClock.create();
    private final List<Socket> callers = new ArrayList<>();

    private static final FrontState SERVING = new FrontState() {
        @Override
        public CallerLimits limits() {
            return CallerLimits.DEFAULT;
        }

        @Override
        public boolean draining() {
            return false;
        }
    };

    @AfterEach
    void stop() throws IOException {
        for (Socket caller : callers) {
            caller.close();
        }
        group.shutdownGracefully();
    }

    private void connect(FrontServer server, int count) throws Exception {
        for (int i = 0; i < count; i++) {
            callers.add(new Socket("127.0.0.1", server.port()));
        }
        while (group.next().submit(server::connectionCount).get() < callers.size()) {
            Thread.onSpinWait();
        }
    }

    /** Closing several connections in one timeout check must not break that check or the next one. */
    @Test
    void idleConnectionsAreClosedInEveryTimeoutCheck() throws Exception {
        FrontServer server = FrontServer.create(group.next(), clock, SERVING, exchange -> {}, BodyMemory.of(1000), 64);
        server.listen(new HostPort("127.0.0.1", 0)).sync();
        for (int round = 0; round < 2; round++) {
            connect(server, 5);
            clock.advance(CallerLimits.DEFAULT.idleTimeout().plus(Duration.ofSeconds(1)));
            group.next().submit(server::closeTimedOut).sync();
            for (Socket caller : callers) {
                assertThat(caller.getInputStream().read()).isEqualTo(-1);
            }
            assertThat(group.next().submit(server::connectionCount).get()).isEqualTo(0);
            callers.clear();
        }
    }
}
