package org.mangoridge.gateway.net;

/** Handles requests of callers. */
@FunctionalInterface
public interface RequestHandler {

    /** Handles a request; the response may be sent later, on the event loop. */
    void handle(CallerExchange exchange);
}
