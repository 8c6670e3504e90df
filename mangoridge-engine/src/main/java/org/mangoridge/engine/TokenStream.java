package org.mangoridge.engine;

import java.time.Duration;

import org.mangoridge.core.Result;

/** The tokens generated for one attempt, read by one thread. */
public interface TokenStream extends AutoCloseable {

    /** An item of a stream: a token, or the end. */
    sealed interface Item {}

    /**
     * A generated token.
     *
     * @param index the index of the token in the output
     * @param text the text of the token
     */
    record Token(int index, String text) implements Item {}

    /**
     * The regular end of a stream; a stream that breaks off returns an error instead.
     *
     * @param finish the reason for the end: stop or length
     */
    record End(String finish) implements Item {}

    /** Returns the next item, waiting at most {@code timeout}; drops events that name another attempt. */
    Result<Item, EngineError> next(Duration timeout);

    /** Closes the stream, and its connection unless the stream has ended. */
    @Override
    void close();
}
