package org.mangoridge.dispatch.balance;

import org.mangoridge.core.Checks;
import org.mangoridge.dispatch.config.EngineSpec;
import org.mangoridge.dispatch.request.TokenDemand;

/**
 * The most that the answer to a model request may consist of, so that a faulty server cannot write without end.
 *
 * <p>It grows with the tokens that the request may generate and is far above what sound servers write.
 *
 * @param events the maximum number of events
 * @param bytes the maximum size of all events, in bytes
 */
public record StreamAllowance(long events, long bytes) {

    /** An event carries at least one token; as many again may be comments or tell of the progress. */
    private static final int EVENTS_PER_TOKEN = 2;
    /** Room for a token with its envelope and its alternatives. */
    private static final int BYTES_PER_TOKEN = 16 << 10;
    /** Events besides those for tokens, such as the last one and the comments that keep a connection alive. */
    private static final int OTHER_EVENTS = 1 << 10;

    private static final int OTHER_BYTES = 1 << 20;

    public StreamAllowance {
        Checks.argument(events > 0 && bytes > 0, "allowance must be positive: %d events, %d bytes", events, bytes);
    }

    /** Returns the allowance of a request; without a stated number of tokens, a server's memory limits them. */
    public static StreamAllowance of(TokenDemand tokens, EngineSpec spec) {
        long output = tokens.maxOutput() > 0 ? tokens.maxOutput() : spec.kvCapacity();
        return new StreamAllowance(OTHER_EVENTS + EVENTS_PER_TOKEN * output, OTHER_BYTES + BYTES_PER_TOKEN * output);
    }
}
