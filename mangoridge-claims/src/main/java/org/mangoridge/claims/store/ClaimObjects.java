package org.mangoridge.claims.store;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Instant;
import java.util.HexFormat;
import java.util.Optional;

import org.mangoridge.claims.protocol.Claim;
import org.mangoridge.claims.protocol.ClaimState;
import org.mangoridge.claims.protocol.RecordedAnswer;
import org.mangoridge.core.Result;
import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.CallerId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.http.Json;
import org.mangoridge.objects.ObjectKey;

/** Object keys and JSON encoding of claims. */
public final class ClaimObjects {

    /** The prefix of the object keys of all claims. */
    public static final String PREFIX = "claims/";

    /** The largest body that is stored for replay, in bytes; Base64 in JSON makes it a third larger. */
    public static final int MAX_RECORDED_BODY_BYTES = 512 << 10;

    /**
     * The JSON form of a claim.
     *
     * @param claimedAtMillis milliseconds since the epoch
     * @param overdueAtMillis milliseconds since the epoch
     * @param outcome the outcome, or null
     */
    record ClaimMessage(
            String service,
            String caller,
            String key,
            String fingerprint,
            String attempt,
            String holder,
            String state,
            long claimedAtMillis,
            long overdueAtMillis,
            RecordedAnswer outcome) {}

    private ClaimObjects() {}

    /** Returns the prefix of the object keys of {@code service}'s claims. */
    public static String prefix(ServiceId service) {
        return PREFIX + hash(service.value()).substring(0, 16) + "/";
    }

    /** Returns the object key of the claim on {@code caller}'s {@code idempotencyKey}; no two callers share a claim. */
    public static ObjectKey key(ServiceId service, CallerId caller, String idempotencyKey) {
        return ObjectKey.of(prefix(service) + hash(caller.value(), idempotencyKey));
    }

    /** Returns the SHA-256 hash of the parts; each part's length is hashed too, so that joined parts can't collide. */
    public static String hash(String... parts) {
        MessageDigest digest = sha256();
        for (String part : parts) {
            byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
            digest.update((bytes.length + ":").getBytes(StandardCharsets.UTF_8));
            digest.update(bytes);
        }
        return HexFormat.of().formatHex(digest.digest());
    }

    /** Returns the fingerprint of a request, which tells a retry from another request with the same key. */
    public static String fingerprint(String method, String path, String contentType, byte[] body) {
        return hash(method, path, contentType, HexFormat.of().formatHex(sha256().digest(body)));
    }

    /** Returns the JSON encoding of a claim. */
    static byte[] encode(Claim claim) {
        return Json.bytes(new ClaimMessage(
                claim.service().value(),
                claim.caller().value(),
                claim.key(),
                claim.fingerprint(),
                claim.attempt().toString(),
                claim.holder(),
                claim.state().name(),
                claim.claimedAt().toEpochMilli(),
                claim.overdueAt().toEpochMilli(),
                claim.outcome().orElse(null)));
    }

    /** Decodes a claim; the error says why the value is not one. */
    static Result<Claim, String> decode(byte[] value) {
        return Json.read(value, ClaimMessage.class).flatMap(ClaimObjects::claim);
    }

    private static Result<Claim, String> claim(ClaimMessage message) {
        try {
            return Result.ok(new Claim(
                    ServiceId.of(message.service()),
                    CallerId.of(message.caller()),
                    message.key(),
                    message.fingerprint(),
                    AttemptId.parse(message.attempt()),
                    message.holder(),
                    ClaimState.valueOf(message.state()),
                    Instant.ofEpochMilli(message.claimedAtMillis()),
                    Instant.ofEpochMilli(message.overdueAtMillis()),
                    Optional.ofNullable(message.outcome())));
        } catch (IllegalArgumentException | NullPointerException e) {
            return Result.err("not a claim: " + e.getMessage());
        }
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }
}
