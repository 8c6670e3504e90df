package org.mangoridge.gateway.node;

import java.nio.charset.StandardCharsets;

import com.codahale.metrics.Snapshot;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.mangoridge.gateway.exchange.GatewayMetrics;
import org.mangoridge.gateway.net.CallerExchange;
import org.mangoridge.gateway.net.RequestHandler;

/** Serves the metrics as text under {@link #METRICS_PATH} and the readiness of the instance on all other paths. */
final class StatusHandler implements RequestHandler {

    static final String METRICS_PATH = "/metrics";

    private final GatewayNode node;
    private final GatewayMetrics metrics;

    StatusHandler(GatewayNode node, GatewayMetrics metrics) {
        this.node = node;
        this.metrics = metrics;
    }

    @Override
    public void handle(CallerExchange exchange) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
        if (exchange.request().path().equals(METRICS_PATH)) {
            respond(exchange, HttpResponseStatus.OK, headers, metricsText());
        } else if (node.ready()) {
            respond(exchange, HttpResponseStatus.OK, headers, "ready\n");
        } else {
            respond(exchange, HttpResponseStatus.SERVICE_UNAVAILABLE, headers, "not ready\n");
        }
    }

    private static void respond(CallerExchange exchange, HttpResponseStatus status, HttpHeaders headers, String text) {
        exchange.respond(status, headers, Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.UTF_8)));
    }

    private String metricsText() {
        StringBuilder text = new StringBuilder();
        metrics.registry()
                .getCounters()
                .forEach((name, counter) ->
                        text.append(name).append(' ').append(counter.getCount()).append('\n'));
        metrics.registry()
                .getGauges()
                .forEach((name, gauge) ->
                        text.append(name).append(' ').append(gauge.getValue()).append('\n'));
        metrics.registry().getHistograms().forEach((name, histogram) -> {
            Snapshot snapshot = histogram.getSnapshot();
            text.append(name).append(".count ").append(histogram.getCount()).append('\n');
            text.append(name).append(".p50 ").append(snapshot.getMedian()).append('\n');
            text.append(name)
                    .append(".p95 ")
                    .append(snapshot.get95thPercentile())
                    .append('\n');
            text.append(name)
                    .append(".p99 ")
                    .append(snapshot.get99thPercentile())
                    .append('\n');
        });
        return text.toString();
    }
}
