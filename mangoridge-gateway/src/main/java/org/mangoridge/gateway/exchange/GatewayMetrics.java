package org.mangoridge.gateway.exchange;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingTimeWindowArrayReservoir;
import org.mangoridge.core.verdict.RefusalReason;

/** Counters and histograms of the request path. */
public final class GatewayMetrics {

    /** How long a value counts in a histogram. */
    private static final int WINDOW_SECONDS = 30;

    private final MetricRegistry registry = new MetricRegistry();

    private GatewayMetrics() {}

    /** Returns metrics that stand at zero. */
    public static GatewayMetrics create() {
        return new GatewayMetrics();
    }

    /** Returns the registry, to be written out. */
    public MetricRegistry registry() {
        return registry;
    }

    /** Adds one to a counter. */
    public void count(String name) {
        registry.counter(name).inc();
    }

    void refused(RefusalReason reason) {
        count("refused." + reason.code());
    }

    void latency(String name, Duration took) {
        Histogram histogram = registry.histogram(
                name, () -> new Histogram(new SlidingTimeWindowArrayReservoir(WINDOW_SECONDS, TimeUnit.SECONDS)));
        histogram.update(took.toMillis());
    }
}
