package org.mangoridge.gateway.net;

/** Answers requests of callers. */
@FunctionalInterface
public interface RequestHandler {

    /** Takes a request; its answer is given on the event loop, now or later. */
    void handle(CallerExchange exchange);
}
