package org.mangoridge.settings.deployment;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import org.mangoridge.core.Checks;

/**
 * The salted SHA-256 of a secret, written {@code SALT:HASH} in hexadecimal.
 *
 * <p>Secrets are long random words, so that a fast hash serves.
 *
 * @param saltHex the salt
 * @param hashHex the hash of salt and secret
 */
public record KeyHash(String saltHex, String hashHex) {

    private static final int HASH_HEX_LENGTH = 64;
    private static final int MIN_SALT_HEX_LENGTH = 16;

    public KeyHash {
        Checks.argument(saltHex.length() >= MIN_SALT_HEX_LENGTH, "salt needs %d hex digits", MIN_SALT_HEX_LENGTH);
        Checks.argument(hashHex.length() == HASH_HEX_LENGTH, "hash needs %d hex digits", HASH_HEX_LENGTH);
        HexFormat.of().parseHex(saltHex);
        HexFormat.of().parseHex(hashHex);
    }

    /**
     * Reads the form {@code SALT:HASH}.
     *
     * @throws IllegalArgumentException if {@code text} has another form
     */
    public static KeyHash parse(String text) {
        int colon = text.indexOf(':');
        Checks.argument(colon > 0, "expected SALT:HASH in hexadecimal");
        return new KeyHash(text.substring(0, colon), text.substring(colon + 1));
    }

    /** Returns the hash of {@code secret} with {@code salt}. */
    public static KeyHash of(byte[] salt, String secret) {
        return new KeyHash(HexFormat.of().formatHex(salt), HexFormat.of().formatHex(digest(salt, secret)));
    }

    /** Tells, in time that does not depend on the secret, whether {@code secret} has this hash. */
    public boolean matches(String secret) {
        byte[] expected = HexFormat.of().parseHex(hashHex);
        return MessageDigest.isEqual(expected, digest(HexFormat.of().parseHex(saltHex), secret));
    }

    @Override
    public String toString() {
        return saltHex + ":" + hashHex;
    }

    private static byte[] digest(byte[] salt, String secret) {
        try {
            MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
            sha256.update(salt);
            return sha256.digest(secret.getBytes(StandardCharsets.UTF_8));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
