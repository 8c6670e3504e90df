package org.mangoridge.entry.auth;

import java.util.Optional;

import org.mangoridge.core.id.CallerId;
import org.mangoridge.http.Headers;
import org.mangoridge.settings.deployment.Caller;
import org.mangoridge.settings.deployment.Deployment;

/** Finds the caller whose key a request carries; safe for use by several threads. */
public final class CallerAuthenticator {

    private static final String SCHEME = "Bearer ";

    private CallerAuthenticator() {}

    /** Returns the caller whose key, {@code CALLER.SECRET}, stands in the Authorization header. */
    public static Optional<Caller> authenticate(Headers headers, Deployment deployment) {
        Optional<String> key = headers.value("Authorization")
                .filter(value -> value.startsWith(SCHEME))
                .map(value -> value.substring(SCHEME.length()).trim());
        int dot = key.map(value -> value.indexOf('.')).orElse(-1);
        if (dot <= 0) {
            return Optional.empty();
        }
        return deployment.caller(CallerId.of(key.get().substring(0, dot))).filter(caller -> caller.keyHash()
                .matches(key.get().substring(dot + 1)));
    }
}
