package org.mangoridge.dispatch.limit;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.mangoridge.dispatch.directory.ServerRun;

/**
 * The limits that servers announce, as this instance and its peers have seen them; confined to one thread.
 *
 * <p>Each change of what is known of a run gets the next version, so that statuses may arrive in any order, more than
 * once, or from an instance that was suspended, without a common clock. Two instances that see different changes at the
 * same time give them the same version; then the lower limit holds until an answer settles it.
 */
final class AnnouncedLimits {

    /** Time in which no answer announces a limit, from which it may have ended; servers may omit it in some answers. */
    static final Duration END_DELAY = Duration.ofSeconds(4);
    /** Answers without a limit that this instance must see besides. */
    static final int ANSWERS_BEFORE_END = 4;
    /** Statuses are told with a delay; times that differ by less are taken for the same. */
    private static final Duration MAX_TELLING_DELAY = Duration.ofMillis(500);
    /** How long the limit of a run is kept that is not listed, since peers may know its server earlier. */
    private static final Duration UNLISTED_RETENTION = Duration.ofSeconds(60);
    /** Runs that are remembered; those that were silent for the longest time are dropped first. */
    private static final int MAX_RUNS = 1024;

    private final Map<ServerRun, Known> runs = new HashMap<>();

    /**
     * What is known of a run.
     *
     * @param announcedAt when an answer announced the limit last
     * @param answersWithout the answers to later requests that this instance has got without an announcement
     * @param changedAt when this instance learned the limit
     */
    private record Known(
            long version, Optional<RateLimit> limit, Duration announcedAt, int answersWithout, Duration changedAt) {

        private Known changedTo(Optional<RateLimit> other, Duration announced, Duration now) {
            return new Known(version + 1, other, announced, 0, now);
        }

        private Known announcedAgain(Duration at) {
            return new Known(version, limit, at, 0, changedAt);
        }

        private Known notAnnouncedAgain() {
            return new Known(version, limit, announcedAt, answersWithout + 1, changedAt);
        }
    }

    /** Records that an answer announced a limit; returns whether that changes what is known. */
    boolean recordAnnounced(ServerRun run, RateLimit limit, Duration now) {
        Known known = runs.getOrDefault(run, new Known(0, Optional.empty(), now, 0, now));
        boolean changed = !known.limit().equals(Optional.of(limit));
        put(run, changed ? known.changedTo(Optional.of(limit), now, now) : known.announcedAgain(now));
        return changed;
    }

    /**
     * Records that an answer announced no limit; returns whether the limit ends by that.
     *
     * @param sentAt when the request was sent; an answer to an earlier one may be older than the last announcement
     */
    boolean recordNotAnnounced(ServerRun run, Duration sentAt, Duration now) {
        Known known = runs.get(run);
        if (known == null || known.limit().isEmpty() || sentAt.compareTo(known.announcedAt()) <= 0) {
            return false;
        }
        Known next = known.notAnnouncedAgain();
        boolean ends = next.answersWithout() >= ANSWERS_BEFORE_END
                && now.minus(known.announcedAt()).compareTo(END_DELAY) >= 0;
        put(run, ends ? known.changedTo(Optional.empty(), known.announcedAt(), now) : next);
        return ends;
    }

    /** Adds the statuses that a peer told; returns the runs whose limit or version is changed by that. */
    Set<ServerRun> merge(List<LimitStatus> told, Duration now) {
        Set<ServerRun> changed = new HashSet<>();
        for (LimitStatus status : told) {
            Known known = runs.get(status.run());
            Duration announcedAt = now.minus(status.silence());
            if (known == null || isNewer(status, known)) {
                put(status.run(), new Known(status.version(), status.limit(), announcedAt, 0, now));
                changed.add(status.run());
            } else if (status.version() == known.version()
                    && announcedAt.minus(known.announcedAt()).compareTo(MAX_TELLING_DELAY) > 0) {
                put(status.run(), known.announcedAgain(announcedAt));
            }
        }
        return changed;
    }

    private static boolean isNewer(LimitStatus status, Known known) {
        if (status.version() != known.version()) {
            return status.version() > known.version();
        }
        return rate(status.limit()) < rate(known.limit());
    }

    private static double rate(Optional<RateLimit> limit) {
        return limit.map(RateLimit::requestsPerSecond).orElse(Double.POSITIVE_INFINITY);
    }

    private void put(ServerRun run, Known known) {
        runs.put(run, known);
        if (runs.size() > MAX_RUNS) {
            runs.entrySet().stream()
                    .filter(each -> !each.getKey().equals(run))
                    .min(Comparator.comparing(each -> each.getValue().announcedAt()))
                    .ifPresent(silent -> runs.remove(silent.getKey()));
        }
    }

    /** Returns the limit of a run; empty if it has none. */
    Optional<RateLimit> limit(ServerRun run) {
        Known known = runs.get(run);
        return known == null ? Optional.empty() : known.limit();
    }

    /** Returns whether no run has ever had a limit. */
    boolean isEmpty() {
        return runs.isEmpty();
    }

    /** Returns the status of a run; empty if it never had a limit. */
    Optional<LimitStatus> status(ServerRun run, Duration now) {
        return Optional.ofNullable(runs.get(run)).map(known -> status(run, known, now));
    }

    private static LimitStatus status(ServerRun run, Known known, Duration now) {
        Duration silence = now.minus(known.announcedAt());
        return new LimitStatus(run, known.version(), known.limit(), silence.isNegative() ? Duration.ZERO : silence);
    }

    /** Returns the statuses to tell peers, the last changed first. */
    List<LimitStatus> statuses(Duration now) {
        return runs.entrySet().stream()
                .sorted(Map.Entry.comparingByValue(
                        Comparator.comparing(Known::changedAt).reversed()))
                .map(each -> status(each.getKey(), each.getValue(), now))
                .toList();
    }

    /** Forgets runs that are neither listed nor were heard of lately. */
    void retain(Set<ServerRun> listed, Duration now) {
        runs.entrySet()
                .removeIf(each -> !listed.contains(each.getKey())
                        && now.minus(each.getValue().announcedAt()).compareTo(UNLISTED_RETENTION) > 0);
    }
}
