package org.mangoridge.gateway.balance;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.mangoridge.core.id.ServerId;

/** How fast servers read prompts, learned from their answers; used by one thread. */
public final class PrefillTimeEstimator {

    /** Prompt tokens that a prefill server reads in a millisecond, before any answer was seen (letter 2's engines). */
    private static final double ASSUMED_TOKENS_PER_MILLI = 33;
    /** A decode server reads prompts itself at this part of that speed (letter 2's engines). */
    private static final double DECODE_FACTOR = 0.5;
    /** Time of a prefill call that does not depend on the prompt, such as scheduling and the way there. */
    private static final double FIXED_MILLIS = 15;

    private static final double WEIGHT = 0.25;
    private static final double MOST_SLOWDOWN = 20;
    private static final double LEAST_SLOWDOWN = 0.5;
    /** Half-life of a learned slowdown, so that a server that recovered is tried again. */
    private static final double HALF_LIFE_SECONDS = 3;

    private final Map<ServerId, Slowdown> slowdowns = new HashMap<>();

    private record Slowdown(double factor, Duration learned) {

        double at(Duration now) {
            double seconds = now.minus(learned).toNanos() / 1e9;
            return 1 + (factor - 1) * Math.pow(0.5, Math.max(0, seconds) / HALF_LIFE_SECONDS);
        }
    }

    private PrefillTimeEstimator() {}

    /** Returns paces without any answer. */
    public static PrefillTimeEstimator create() {
        return new PrefillTimeEstimator();
    }

    /** Returns the milliseconds in which a prefill server without faults reads {@code tokens}. */
    public static double nominalPrefillMillis(long tokens) {
        return FIXED_MILLIS + tokens / ASSUMED_TOKENS_PER_MILLI;
    }

    /** Returns the expected milliseconds until a prefill server has read {@code tokens}. */
    public double prefillMillis(ServerId server, long tokens, Duration now) {
        return FIXED_MILLIS + tokens / ASSUMED_TOKENS_PER_MILLI * slowdown(server, now);
    }

    /** Returns the expected milliseconds until a decode server has read {@code tokens} itself. */
    public double directPrefillMillis(ServerId server, long tokens, Duration now) {
        return FIXED_MILLIS + tokens / (ASSUMED_TOKENS_PER_MILLI * DECODE_FACTOR) * slowdown(server, now);
    }

    /** Takes note that a server took {@code took} where {@code expectedMillis} were expected without slowdown. */
    public void recordDuration(ServerId server, double expectedMillis, Duration took, Duration now) {
        double ratio = took.toNanos() / 1e6 / Math.max(1, expectedMillis);
        double factor = Math.max(LEAST_SLOWDOWN, Math.min(MOST_SLOWDOWN, ratio));
        double before = slowdown(server, now);
        slowdowns.put(server, new Slowdown(before + WEIGHT * (factor - before), now));
    }

    /** Returns how many times slower than assumed a server is. */
    public double slowdown(ServerId server, Duration now) {
        Slowdown known = slowdowns.get(server);
        return known == null ? 1 : known.at(now);
    }
}
