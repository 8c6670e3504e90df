package org.mangoridge.dispatch.limit;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.directory.ServerRun;

/**
 * The pauses that servers asked this instance for; confined to one thread.
 *
 * <p>A pause belongs to one run of a server. It is not told to peers, since a server may well serve them.
 */
final class ServerPauses {

    /**
     * Longest pause that a server gets. One that wants nothing for longer can drain; a wrong value must not take a
     * server out of use for good.
     */
    static final Duration MAX_PAUSE = Duration.ofMinutes(10);

    private final Map<ServerRun, Duration> ends = new HashMap<>();

    /** Records a pause that a server asked for; returns whether the server was not paused before. */
    boolean record(ServerEntry server, Duration pause, Duration now) {
        boolean begins = !isPaused(server, now);
        Duration end = now.plus(pause.compareTo(MAX_PAUSE) < 0 ? pause : MAX_PAUSE);
        ends.merge(ServerRun.of(server), end, (known, other) -> known.compareTo(other) >= 0 ? known : other);
        return begins && isPaused(server, now);
    }

    boolean isPaused(ServerEntry server, Duration now) {
        return remaining(server, now).isPositive();
    }

    /** Returns how long a server is still paused; zero if it is not. */
    Duration remaining(ServerEntry server, Duration now) {
        Duration end = ends.isEmpty() ? null : ends.get(ServerRun.of(server));
        return end == null || end.compareTo(now) <= 0 ? Duration.ZERO : end.minus(now);
    }

    /** Returns after what time the first of the servers may be sent a request; empty if not all of them are paused. */
    Optional<Duration> firstEnd(Collection<ServerEntry> servers, Duration now) {
        return servers.stream()
                .map(server -> remaining(server, now))
                .min(Duration::compareTo)
                .filter(Duration::isPositive);
    }

    /** Forgets the pauses of runs that are not listed any more. */
    void retain(Set<ServerRun> listed) {
        ends.keySet().retainAll(listed);
    }
}
