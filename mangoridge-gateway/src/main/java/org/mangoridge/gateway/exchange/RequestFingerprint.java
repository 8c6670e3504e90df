package org.mangoridge.gateway.exchange;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.Base64;

import org.mangoridge.dispatch.request.RequestPart;

/**
 * Identifies requests that are the same by method, target, caller and body, whatever their ids and other headers.
 *
 * <p>A fingerprint begins with an outline of the request, which costs little and leaves few requests whose body has to be
 * hashed. The hash is cryptographic, so that nobody can make another's request look like one that crashes servers.
 */
final class RequestFingerprint {

    /** Bytes of the hash that are kept; 128 bits. */
    private static final int HASH_BYTES = 16;

    private RequestFingerprint() {}

    /** Returns the outline of a request, which the same requests share, and few others. */
    static String outline(String method, String target, String caller, int bodyLength) {
        int mixed = ((method.hashCode() * 31 + target.hashCode()) * 31 + caller.hashCode()) * 31 + bodyLength;
        return Integer.toHexString(mixed);
    }

    /** Returns the fingerprint of a request. */
    static RequestPart of(String method, String target, String caller, ByteBuffer body) {
        MessageDigest digest = newDigest();
        for (String text : new String[] {method, target, caller}) {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            digest.update(
                    ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).flip());
            digest.update(bytes);
        }
        int length = body.remaining();
        digest.update(body.duplicate());
        String hash =
                Base64.getUrlEncoder().withoutPadding().encodeToString(Arrays.copyOf(digest.digest(), HASH_BYTES));
        return RequestPart.ofRequest(outline(method, target, caller, length), hash);
    }

    private static MessageDigest newDigest() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has SHA-256", e);
        }
    }
}
