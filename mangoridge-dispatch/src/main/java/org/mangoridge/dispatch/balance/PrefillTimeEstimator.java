package org.mangoridge.dispatch.balance;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.mangoridge.core.id.ServerId;

/** Estimates how long servers take for a prefill, from the durations of earlier ones; confined to one thread. */
public final class PrefillTimeEstimator {

    /** Nominal speed of a prefill server, which applies until a duration was recorded. */
    private static final double NOMINAL_TOKENS_PER_MILLI = 33;
    /** Prefill speed of a decode server as a fraction of that of a prefill server. */
    private static final double DECODE_SPEED_FACTOR = 0.5;
    /** Time of a prefill call that does not depend on the prompt, such as scheduling and the network round trip. */
    private static final double FIXED_MILLIS = 15;

    /** Weight of one duration in the moving average of the slowdown. */
    private static final double SAMPLE_WEIGHT = 0.25;

    private static final double MAX_SLOWDOWN = 20;
    private static final double MIN_SLOWDOWN = 0.5;
    /** Half-life of a recorded slowdown, so that a server that recovered gets requests again. */
    private static final double HALF_LIFE_SECONDS = 3;

    private final Map<ServerId, Slowdown> slowdowns = new HashMap<>();

    private record Slowdown(double factor, Duration recorded) {

        double at(Duration now) {
            double seconds = now.minus(recorded).toNanos() / 1e9;
            return 1 + (factor - 1) * Math.pow(0.5, Math.max(0, seconds) / HALF_LIFE_SECONDS);
        }
    }

    private PrefillTimeEstimator() {}

    /** Creates an estimator without any recorded duration. */
    public static PrefillTimeEstimator create() {
        return new PrefillTimeEstimator();
    }

    /** Returns the milliseconds that a prefill of {@code tokens} takes at nominal speed. */
    public static double nominalPrefillMillis(long tokens) {
        return FIXED_MILLIS + tokens / NOMINAL_TOKENS_PER_MILLI;
    }

    /** Returns the expected milliseconds of a prefill of {@code tokens} on a prefill server. */
    public double prefillMillis(ServerId server, long tokens, Duration now) {
        return FIXED_MILLIS + tokens / NOMINAL_TOKENS_PER_MILLI * slowdown(server, now);
    }

    /** Returns the expected milliseconds of a prefill of {@code tokens} on a decode server. */
    public double directPrefillMillis(ServerId server, long tokens, Duration now) {
        return FIXED_MILLIS + tokens / (NOMINAL_TOKENS_PER_MILLI * DECODE_SPEED_FACTOR) * slowdown(server, now);
    }

    /** Records that a server took {@code took} for a prefill with a nominal time of {@code nominalMillis}. */
    public void recordDuration(ServerId server, double nominalMillis, Duration took, Duration now) {
        double ratio = took.toNanos() / 1e6 / Math.max(1, nominalMillis);
        double factor = Math.max(MIN_SLOWDOWN, Math.min(MAX_SLOWDOWN, ratio));
        double before = slowdown(server, now);
        slowdowns.put(server, new Slowdown(before + SAMPLE_WEIGHT * (factor - before), now));
    }

    /** Returns the ratio of a server's time to the nominal time; 1 if no duration was recorded. */
    public double slowdown(ServerId server, Duration now) {
        Slowdown known = slowdowns.get(server);
        return known == null ? 1 : known.at(now);
    }
}
