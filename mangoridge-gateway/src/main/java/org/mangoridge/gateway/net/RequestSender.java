package org.mangoridge.gateway.net;

/** Sends requests; used on one event loop. */
@FunctionalInterface
public interface RequestSender {

    /** Sends a request; {@code listener} receives the events of the call unless it is cancelled. */
    UpstreamCall call(UpstreamRequest request, CallListener listener);
}
