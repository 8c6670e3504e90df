package org.mangoridge.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import org.mangoridge.core.id.Generation;

/**
 * An accepted configuration.
 *
 * @param generation its number
 * @param hash the SHA-256 of the text in hexadecimal
 * @param text the merged configuration as one INI text
 */
public record PublishedConfig(Generation generation, String hash, String text) {

    /** Returns the configuration with the hash of its text. */
    public static PublishedConfig of(Generation generation, String text) {
        return new PublishedConfig(generation, hashOf(text), text);
    }

    /** Tells whether the hash is that of the text. */
    public boolean verifies() {
        return hash.equals(hashOf(text));
    }

    private static String hashOf(String text) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
