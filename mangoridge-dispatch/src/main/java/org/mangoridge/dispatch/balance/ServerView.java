package org.mangoridge.dispatch.balance;

import java.time.Duration;
import java.util.List;

import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.limit.ServerRateLimiter;

/** What a balancer asks of servers where the question itself may change what is known of them. */
sealed interface ServerView {

    /** Returns the health of the servers. */
    ServerHealthTracker health();

    /** Returns the limits of the servers. */
    ServerRateLimiter limiter();

    /** Tells whether the limit of a server lets it be sent a request now. */
    boolean permits(ServerEntry server, Duration now);

    /** Returns the servers that their pace permits a request now; of a stage without any such server, all of it. */
    List<ServerEntry> withinPace(List<ServerEntry> usable, Duration now);

    /** Returns the latency in milliseconds by which a server competes with others; 0 if none is known. */
    double competingLatencyMillis(ServerEntry server, Duration now);

    /** Returns the decaying average of the share of failed answers, 0 to 1. */
    double errorShare(ServerEntry server, Duration now);

    /** The view of a decision, which brings averages, tokens and turns up to date. */
    record Deciding(ServerHealthTracker health, ServerRateLimiter limiter) implements ServerView {

        @Override
        public boolean permits(ServerEntry server, Duration now) {
            return limiter.permits(server, now);
        }

        @Override
        public List<ServerEntry> withinPace(List<ServerEntry> usable, Duration now) {
            return health.withinPace(usable, now);
        }

        @Override
        public double competingLatencyMillis(ServerEntry server, Duration now) {
            return health.competingLatencyMillis(server, now);
        }

        @Override
        public double errorShare(ServerEntry server, Duration now) {
            return health.errorShare(server.id(), now);
        }
    }

    /** The view of a preview, which changes nothing. */
    record Previewing(ServerHealthTracker health, ServerRateLimiter limiter) implements ServerView {

        @Override
        public boolean permits(ServerEntry server, Duration now) {
            return limiter.wouldPermit(server, now);
        }

        @Override
        public List<ServerEntry> withinPace(List<ServerEntry> usable, Duration now) {
            return health.wouldBeWithinPace(usable, now);
        }

        @Override
        public double competingLatencyMillis(ServerEntry server, Duration now) {
            return health.previewLatencyMillis(server, now);
        }

        @Override
        public double errorShare(ServerEntry server, Duration now) {
            return health.previewErrorShare(server.id(), now);
        }
    }
}
