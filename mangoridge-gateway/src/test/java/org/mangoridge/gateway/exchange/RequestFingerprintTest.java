package org.mangoridge.gateway.exchange;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mangoridge.dispatch.request.RequestPart;

import static com.google.common.truth.Truth.assertThat;

class RequestFingerprintTest {

    private static RequestPart fingerprint(String method, String target, String caller, String body) {
        ByteBuffer bytes = ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8));
        return RequestFingerprint.of(method, target, caller, bytes);
    }

    @Test
    void sameRequestsHaveTheSameFingerprint() {
        assertThat(fingerprint("POST", "/a?q=1", "h", "body")).isEqualTo(fingerprint("POST", "/a?q=1", "h", "body"));
    }

    @ParameterizedTest
    @CsvSource({
        "GET, /a?q=1, h, body",
        "POST, /a?q=2, h, body",
        "POST, /a?q=1, g, body",
        "POST, /a?q=1, h, bodx",
        "POST, /a?q=1h, '', body",
        "POST, /a?q=1, '', hbody",
        "POST, /a?q=1, h, ''"
    })
    void otherRequestsHaveAnother(String method, String target, String caller, String body) {
        assertThat(fingerprint(method, target, caller, body)).isNotEqualTo(fingerprint("POST", "/a?q=1", "h", "body"));
    }

    /** Bodies of one length differ only in the hash, which need not be computed for a request of another outline. */
    @Test
    void theOutlineIsThatOfTheRequest() {
        RequestPart one = fingerprint("POST", "/a", "h", "body");
        RequestPart other = fingerprint("POST", "/a", "h", "bodx");
        assertThat(one.outline()).isEqualTo(RequestFingerprint.outline("POST", "/a", "h", 4));
        assertThat(other.outline()).isEqualTo(one.outline());
        assertThat(RequestPart.of("f1").outline()).isEmpty();
    }
}
