package org.mangoridge.engine;

import java.time.Duration;
import java.util.Optional;

import org.mangoridge.core.verdict.AttemptProgress;
import org.mangoridge.core.verdict.Verdict;

/** The reason why a call to a model engine or plain service failed. */
public sealed interface EngineError {

    /** Returns whether the call may have run. */
    Verdict verdict();

    /** Returns a description of the error for logs. */
    String detail();

    /**
     * The server could not be reached, or no complete answer of this attempt was received.
     *
     * @param progress how far the attempt got
     * @param detail a description of the error
     */
    record TransportFailure(AttemptProgress progress, String detail) implements EngineError {

        @Override
        public Verdict verdict() {
            return progress.verdict();
        }
    }

    /**
     * The engine has no free capacity, or is executing an order, and did nothing.
     *
     * @param retryAfter how long to wait before a retry, or empty if the engine did not state it
     */
    record Full(Optional<Duration> retryAfter) implements EngineError {

        @Override
        public Verdict verdict() {
            return Verdict.NOT_RUN;
        }

        @Override
        public String detail() {
            return "engine has no free capacity or is executing an order";
        }
    }

    /** The engine no longer holds the KV cache that the call needs, and did nothing. */
    record Evicted() implements EngineError {

        @Override
        public Verdict verdict() {
            return Verdict.NOT_RUN;
        }

        @Override
        public String detail() {
            return "prefill result was evicted";
        }
    }

    /** The attempt was cancelled. */
    record Cancelled() implements EngineError {

        @Override
        public Verdict verdict() {
            return Verdict.RAN;
        }

        @Override
        public String detail() {
            return "attempt was cancelled";
        }
    }

    /**
     * The engine rejected the call for another reason and did nothing.
     *
     * @param status the HTTP status
     * @param detail the text of the answer
     */
    record Rejected(int status, String detail) implements EngineError {

        @Override
        public Verdict verdict() {
            return Verdict.NOT_RUN;
        }
    }

    /**
     * The engine failed and may have started the work, or its answer could not be parsed.
     *
     * @param detail the text of the answer, or the parse error
     */
    record Failed(String detail) implements EngineError {

        @Override
        public Verdict verdict() {
            return Verdict.MAY_HAVE_RUN;
        }
    }
}
