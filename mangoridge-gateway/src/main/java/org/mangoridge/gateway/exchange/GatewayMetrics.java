package org.mangoridge.gateway.exchange;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.SlidingTimeWindowArrayReservoir;
import org.mangoridge.core.verdict.RefusalReason;

/** Counters and histograms of the request path. */
public final class GatewayMetrics {

    /** Width of the sliding time window of the histograms. */
    private static final int WINDOW_SECONDS = 30;

    private final MetricRegistry registry = new MetricRegistry();

    private GatewayMetrics() {}

    /** Returns metrics without any recorded value. */
    public static GatewayMetrics create() {
        return new GatewayMetrics();
    }

    /** Returns the registry that holds the metrics. */
    public MetricRegistry registry() {
        return registry;
    }

    /** Increments a counter. */
    public void count(String name) {
        registry.counter(name).inc();
    }

    /** Shows a value that is read whenever the metrics are. */
    public void show(String name, LongSupplier value) {
        registry.gauge(name, () -> value::getAsLong);
    }

    /** Counts a refusal under its reason. */
    void countRefusal(RefusalReason reason) {
        count("refused." + reason.code());
    }

    /** Records a duration in a histogram, in milliseconds. */
    void recordLatency(String name, Duration took) {
        Histogram histogram = registry.histogram(
                name, () -> new Histogram(new SlidingTimeWindowArrayReservoir(WINDOW_SECONDS, TimeUnit.SECONDS)));
        histogram.update(took.toMillis());
    }
}
