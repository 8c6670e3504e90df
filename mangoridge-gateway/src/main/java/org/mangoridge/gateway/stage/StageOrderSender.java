package org.mangoridge.gateway.stage;

import java.util.function.Consumer;

/** Gives orders to servers; answers come on the event loop. */
@FunctionalInterface
public interface StageOrderSender {

    /** Reads the server's state and, if it is not busy, gives it the order. */
    void send(StageOrder order, Consumer<StageOrderOutcome> answer);
}
