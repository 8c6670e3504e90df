package org.mangoridge.engine.plain;

import org.mangoridge.core.Result;
import org.mangoridge.engine.EngineError;
import org.mangoridge.http.HttpAnswer;

/** Passes calls to plain services; each call is sent at most once. Safe for use by several threads. */
@FunctionalInterface
public interface PlainService {

    /** Sends {@code call} and waits for the whole answer. */
    Result<HttpAnswer, EngineError> call(PlainCall call);
}
