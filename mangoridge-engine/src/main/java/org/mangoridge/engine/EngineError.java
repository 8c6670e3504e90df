package org.mangoridge.engine;

import java.time.Duration;
import java.util.Optional;

import org.mangoridge.core.verdict.AttemptProgress;
import org.mangoridge.core.verdict.Verdict;

/** Why an engine did not do what it was asked. */
public sealed interface EngineError {

    /** Tells whether the work may have run. */
    Verdict verdict();

    /** Says what went wrong, for logs. */
    String detail();

    /**
     * The engine could not be reached, or its answer broke off.
     *
     * @param progress how far the attempt came
     * @param detail what went wrong
     */
    record TransportFailure(AttemptProgress progress, String detail) implements EngineError {

        @Override
        public Verdict verdict() {
            return progress.verdict();
        }
    }

    /**
     * The engine has no room and did nothing.
     *
     * @param retryAfter when it expects room, if it says
     */
    record Full(Optional<Duration> retryAfter) implements EngineError {

        @Override
        public Verdict verdict() {
            return Verdict.NOT_RUN;
        }

        @Override
        public String detail() {
            return "engine is full";
        }
    }

    /** The KV cache that the work needs is no longer held; nothing ran here. */
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
     * The engine refused for another reason and did nothing.
     *
     * @param status the HTTP status
     * @param detail what it said
     */
    record Rejected(int status, String detail) implements EngineError {

        @Override
        public Verdict verdict() {
            return Verdict.NOT_RUN;
        }
    }

    /**
     * The engine failed after it may have begun.
     *
     * @param detail what it said
     */
    record Failed(String detail) implements EngineError {

        @Override
        public Verdict verdict() {
            return Verdict.MAY_HAVE_RUN;
        }
    }
}
