package org.mangoridge.web;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Counts requests until their handler has returned and their answer is sent or their connection closed. */
final class OpenRequests {

    /** One request; each method counts once. */
    final class Ticket {

        private final AtomicBoolean handled = new AtomicBoolean();
        private final AtomicBoolean sent = new AtomicBoolean();
        private volatile boolean started;
        private final AtomicInteger left = new AtomicInteger(2);

        /** Notes that the handler is about to run. */
        void started() {
            started = true;
        }

        /** Notes that the connection closed; a request that was not read whole never reaches its handler. */
        void closed() {
            sent();
            if (!started) {
                handled();
            }
        }

        /** Notes that the handler has returned and holds nothing for the request. */
        void handled() {
            if (handled.compareAndSet(false, true)) {
                end();
            }
        }

        /** Notes that nothing more is sent. */
        void sent() {
            if (sent.compareAndSet(false, true)) {
                end();
            }
        }

        private void end() {
            if (left.decrementAndGet() == 0) {
                count.decrementAndGet();
            }
        }
    }

    private final AtomicInteger count = new AtomicInteger();

    /** Notes a request that has come. */
    Ticket begin() {
        count.incrementAndGet();
        return new Ticket();
    }

    /** Returns how many requests are open. */
    int count() {
        return count.get();
    }
}
