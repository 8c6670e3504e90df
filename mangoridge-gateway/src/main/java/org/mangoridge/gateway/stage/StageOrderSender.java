package org.mangoridge.gateway.stage;

import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Sends stage orders to servers; callbacks run on the event loop. */
@FunctionalInterface
public interface StageOrderSender {

    /**
     * Reads the server's state and, if it is not busy, sends it the order.
     *
     * @param permitted whether the order may still be given; asked right before it is sent, since the process may have
     *     been paused after the read
     */
    void send(StageOrder order, BooleanSupplier permitted, Consumer<StageOrderOutcome> answer);
}
