package org.mangoridge.gateway.stage;

import java.util.function.Consumer;

/** Sends stage orders to servers; callbacks run on the event loop. */
@FunctionalInterface
public interface StageOrderSender {

    /** Reads the server's state and, if it is not busy, sends it the order. */
    void send(StageOrder order, Consumer<StageOrderOutcome> answer);
}
