package org.mangoridge.gateway.net;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static com.google.common.truth.Truth.assertThat;

class RequestFramingTest {

    @ParameterizedTest
    @CsvSource({
        "Content-Length, 5, Transfer-Encoding, chunked, true",
        "Content-Length, 5, Content-Length, 6, true",
        "Transfer-Encoding, gzip, X, y, true",
        "Transfer-Encoding, chunked, Transfer-Encoding, chunked, true",
        "Host, a, Host, b, true",
        "Content-Length, 5, X, y, false",
        "Transfer-Encoding, Chunked, X, y, false"
    })
    void ambiguousFramingIsDetected(String name, String value, String otherName, String otherValue, boolean expected) {
        HttpRequest request = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/");
        request.headers().add(name, value).add(otherName, otherValue);
        assertThat(RequestFraming.isAmbiguous(request)).isEqualTo(expected);
    }
}
