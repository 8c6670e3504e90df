package org.mangoridge.engine;

import java.time.Duration;

import org.mangoridge.core.Result;

/** Tokens of one attempt, read by one thread. */
public interface TokenStream extends AutoCloseable {

    /** What a stream brings. */
    sealed interface Item {}

    /**
     * A token.
     *
     * @param index its index
     * @param text its text
     */
    record Token(int index, String text) implements Item {}

    /**
     * The end of a whole stream.
     *
     * @param finish why it ended: stop or length
     */
    record End(String finish) implements Item {}

    /** Waits at most {@code timeout} for the next item; events that name another attempt are dropped. */
    Result<Item, EngineError> next(Duration timeout);

    /** Closes the connection unless the stream has ended. */
    @Override
    void close();
}
