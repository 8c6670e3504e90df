package org.mangoridge.entry.metrics;

import com.codahale.metrics.MetricRegistry;

/** Formats the metrics of a registry in the Prometheus text format. */
public final class PrometheusText {

    private static final String NAME_PREFIX = "mangoridge_";

    private PrometheusText() {}

    /** Returns the counters and numeric gauges of {@code registry}; the names of counters end in {@code _total}. */
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
        String metricName = NAME_PREFIX + name.replace('.', '_').replace('-', '_');
        text.append("# TYPE ").append(metricName).append(' ').append(type).append('\n');
        text.append(metricName).append(' ').append(value).append('\n');
    }
}
