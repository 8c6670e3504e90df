package org.mangoridge.web;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Counts open requests.
 *
 * <p>A request is open until its handler has returned and its reply is sent or its connection closed.
 */
final class OpenRequests {

    /** The progress of one request. Repeated calls of a method have no further effect. */
    final class OpenRequest {

        private final AtomicBoolean handled = new AtomicBoolean();
        private final AtomicBoolean sent = new AtomicBoolean();
        private volatile boolean started;
        private final AtomicInteger remainingSteps = new AtomicInteger(2);

        /** Records that the handler is about to run. */
        void markStarted() {
            started = true;
        }

        /**
         * Records that the connection was closed.
         *
         * <p>This also ends a request that was not fully read, since its handler never runs.
         */
        void markClosed() {
            markSent();
            if (!started) {
                markHandled();
            }
        }

        /** Records that the handler has returned and holds no resources for the request. */
        void markHandled() {
            if (handled.compareAndSet(false, true)) {
                completeStep();
            }
        }

        /** Records that the reply is sent, or that nothing more will be sent. */
        void markSent() {
            if (sent.compareAndSet(false, true)) {
                completeStep();
            }
        }

        private void completeStep() {
            if (remainingSteps.decrementAndGet() == 0) {
                count.decrementAndGet();
            }
        }
    }

    private final AtomicInteger count = new AtomicInteger();

    /** Counts a new request. */
    OpenRequest begin() {
        count.incrementAndGet();
        return new OpenRequest();
    }

    /** Returns the number of open requests. */
    int count() {
        return count.get();
    }
}
