package org.mangoridge.dispatch.workspace;

import org.mangoridge.core.Checks;

/**
 * The secret by which a caller shows which workspace it belongs to; not shown in logs.
 *
 * @param value the key as callers send it, never blank
 */
public record ApiKey(String value) {

    public ApiKey {
        Checks.notBlank(value, "API key");
    }

    /** Returns the key written as {@code value}. */
    public static ApiKey of(String value) {
        return new ApiKey(value);
    }

    @Override
    public String toString() {
        return "ApiKey[hidden]";
    }
}
