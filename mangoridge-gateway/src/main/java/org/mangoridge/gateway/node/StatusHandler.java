package org.mangoridge.gateway.node;

import java.nio.charset.StandardCharsets;

import com.codahale.metrics.Snapshot;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.mangoridge.core.Result;
import org.mangoridge.gateway.exchange.GatewayMetrics;
import org.mangoridge.gateway.exchange.RequestQuestion;
import org.mangoridge.gateway.exchange.RequestRouter;
import org.mangoridge.gateway.net.CallerExchange;
import org.mangoridge.gateway.net.RequestHandler;

/**
 * Serves the metrics as text under {@link #METRICS_PATH}, explanations of requests under {@link #EXPLAIN_PATH} and the
 * readiness of the instance on all other paths.
 */
final class StatusHandler implements RequestHandler {

    static final String METRICS_PATH = "/metrics";

    static final String EXPLAIN_PATH = "/explain";

    private final GatewayNode node;
    private final RequestRouter router;
    private final GatewayMetrics metrics;

    StatusHandler(GatewayNode node, RequestRouter router, GatewayMetrics metrics) {
        this.node = node;
        this.router = router;
        this.metrics = metrics;
    }

    @Override
    public void handle(CallerExchange exchange) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
        if (exchange.request().path().equals(METRICS_PATH)) {
            respond(exchange, HttpResponseStatus.OK, headers, metricsText());
        } else if (exchange.request().path().equals(EXPLAIN_PATH)) {
            explain(exchange, headers);
        } else if (node.ready()) {
            respond(exchange, HttpResponseStatus.OK, headers, "ready\n");
        } else {
            respond(exchange, HttpResponseStatus.SERVICE_UNAVAILABLE, headers, "not ready\n");
        }
    }

    private void explain(CallerExchange exchange, HttpHeaders headers) {
        if (!exchange.request().method().equals(HttpMethod.GET)) {
            respond(exchange, HttpResponseStatus.BAD_REQUEST, headers, "The question must be asked with GET.\n");
            return;
        }
        switch (RequestQuestion.parse(exchange.request().target())) {
            case Result.Ok<RequestQuestion, String> ok ->
                respond(exchange, HttpResponseStatus.OK, headers, router.explain(ok.value(), node.draining()));
            case Result.Err<RequestQuestion, String> err ->
                respond(exchange, HttpResponseStatus.BAD_REQUEST, headers, err.error() + "\n");
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
