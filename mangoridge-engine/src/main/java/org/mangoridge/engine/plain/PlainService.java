package org.mangoridge.engine.plain;

import org.mangoridge.core.Result;
import org.mangoridge.engine.EngineError;
import org.mangoridge.http.HttpAnswer;

/**
 * Forwards calls to plain services. Safe for use by several threads.
 *
 * <p>A call whose method is not idempotent is sent at most once.
 */
@FunctionalInterface
public interface PlainService {

    /** Sends {@code call} and waits for the complete answer. */
    Result<HttpAnswer, EngineError> call(PlainCall call);
}
