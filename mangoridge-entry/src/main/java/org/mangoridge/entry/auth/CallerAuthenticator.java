package org.mangoridge.entry.auth;

import java.util.Optional;

import org.mangoridge.core.id.CallerId;
import org.mangoridge.http.Headers;
import org.mangoridge.settings.deployment.Caller;
import org.mangoridge.settings.deployment.Deployment;

/** Authenticates callers by their API key; thread-safe. */
public final class CallerAuthenticator {

    private static final String BEARER_PREFIX = "Bearer ";

    private CallerAuthenticator() {}

    /** Returns the caller of the key {@code CALLER.SECRET} in the Authorization header, or empty if it is not valid. */
    public static Optional<Caller> authenticate(Headers headers, Deployment deployment) {
        Optional<String> key = headers.value("Authorization")
                .filter(value -> value.startsWith(BEARER_PREFIX))
                .map(value -> value.substring(BEARER_PREFIX.length()).trim());
        int dot = key.map(value -> value.indexOf('.')).orElse(-1);
        if (dot <= 0) {
            return Optional.empty();
        }
        return deployment.caller(CallerId.of(key.get().substring(0, dot))).filter(caller -> caller.keyHash()
                .matches(key.get().substring(dot + 1)));
    }
}
