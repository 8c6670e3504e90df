package org.mangoridge.entry.auth;

import java.util.Map;
import java.util.Optional;

import org.mangoridge.http.Headers;
import org.mangoridge.settings.deployment.KeyHash;

/** Authenticates operators by their token; thread-safe. */
public final class OperatorAuthenticator {

    private static final String BEARER_PREFIX = "Bearer ";

    private final Map<String, KeyHash> operators;

    private OperatorAuthenticator(Map<String, KeyHash> operators) {
        this.operators = Map.copyOf(operators);
    }

    /** Returns an authenticator for operators given by name with the hashes of their secrets. */
    public static OperatorAuthenticator of(Map<String, KeyHash> operators) {
        return new OperatorAuthenticator(operators);
    }

    /**
     * Returns the name of the operator of the token {@code OPERATOR.SECRET} in the Authorization header, or empty if it
     * is not valid.
     */
    public Optional<String> authenticate(Headers headers) {
        String token = headers.value("Authorization")
                .filter(value -> value.startsWith(BEARER_PREFIX))
                .map(value -> value.substring(BEARER_PREFIX.length()).trim())
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
