package org.mangoridge.entry.auth;

import java.util.Map;
import java.util.Optional;

import org.mangoridge.http.Headers;
import org.mangoridge.settings.deployment.KeyHash;

/** Finds the operator whose token a request carries; safe for use by several threads. */
public final class OperatorAuthenticator {

    private static final String SCHEME = "Bearer ";

    private final Map<String, KeyHash> operators;

    private OperatorAuthenticator(Map<String, KeyHash> operators) {
        this.operators = Map.copyOf(operators);
    }

    /** Returns an authenticator of the given operators. */
    public static OperatorAuthenticator of(Map<String, KeyHash> operators) {
        return new OperatorAuthenticator(operators);
    }

    /** Returns the name of the operator whose token, {@code OPERATOR.SECRET}, stands in the Authorization header. */
    public Optional<String> authenticate(Headers headers) {
        String token = headers.value("Authorization")
                .filter(value -> value.startsWith(SCHEME))
                .map(value -> value.substring(SCHEME.length()).trim())
                .orElse("");
        int dot = token.indexOf('.');
        if (dot <= 0) {
            return Optional.empty();
        }
        String name = token.substring(0, dot);
        return Optional.ofNullable(operators.get(name))
                .filter(hash -> hash.matches(token.substring(dot + 1)))
                .map(hash -> name);
    }
}
