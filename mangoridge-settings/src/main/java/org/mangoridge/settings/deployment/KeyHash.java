package org.mangoridge.settings.deployment;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import org.mangoridge.core.Checks;

/**
 * The salted SHA-256 hash of a secret, written {@code SALT:HASH} in hexadecimal.
 *
 * <p>A fast hash is sufficient because secrets are long random strings, which cannot be guessed.
 *
 * @param saltHex the salt in hexadecimal
 * @param hashHex the hash of the salt followed by the secret, in hexadecimal
 */
public record KeyHash(String saltHex, String hashHex) {

    private static final int HASH_HEX_LENGTH = 64;
    private static final int MIN_SALT_HEX_LENGTH = 16;

    public KeyHash {
        Checks.argument(
                saltHex.length() >= MIN_SALT_HEX_LENGTH, "salt must have at least %d hex digits", MIN_SALT_HEX_LENGTH);
        Checks.argument(hashHex.length() == HASH_HEX_LENGTH, "hash must have exactly %d hex digits", HASH_HEX_LENGTH);
        HexFormat.of().parseHex(saltHex);
        HexFormat.of().parseHex(hashHex);
    }

    /**
     * Parses {@code SALT:HASH}.
     *
     * @throws IllegalArgumentException if {@code text} does not have this form
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

    /** Returns whether {@code secret} has this hash, comparing in constant time. */
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
