package org.mangoridge.config.content;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes SHA-256 hashes in hexadecimal. */
public final class Sha256 {

    private Sha256() {}

    /** Returns the hash of {@code bytes}. */
    public static String of(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /** Returns the hash of the UTF-8 encoding of {@code text}. */
    public static String of(String text) {
        return of(text.getBytes(StandardCharsets.UTF_8));
    }
}
