package org.mangoridge.entry.metrics;

import com.codahale.metrics.MetricRegistry;

/** Writes the metrics of a registry in the Prometheus text format. */
public final class PrometheusText {

    private static final String PREFIX = "mangoridge_";

    private PrometheusText() {}

    /** Returns the counters and gauges of {@code registry}; counters end in {@code _total}. */
    public static String of(MetricRegistry registry) {
        StringBuilder text = new StringBuilder();
        registry.getCounters().forEach((name, counter) -> append(text, name + "_total", "counter", counter.getCount()));
        registry.getGauges().forEach((name, gauge) -> {
            if (gauge.getValue() instanceof Number number) {
                append(text, name, "gauge", number);
            }
        });
        return text.toString();
    }

    private static void append(StringBuilder text, String name, String type, Number value) {
        String full = PREFIX + name.replace('.', '_').replace('-', '_');
        text.append("# TYPE ").append(full).append(' ').append(type).append('\n');
        text.append(full).append(' ').append(value).append('\n');
    }
}
