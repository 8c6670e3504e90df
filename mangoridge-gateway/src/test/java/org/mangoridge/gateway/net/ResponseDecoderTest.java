package org.mangoridge.gateway.net;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

class ResponseDecoderTest {

    /** Decodes the bytes in parts of a size; returns whether all messages of them are valid. */
    private static boolean isValid(String bytes, int partSize) {
        EmbeddedChannel channel = new EmbeddedChannel(new ResponseDecoder(new HttpDecoderConfig()));
        byte[] all = bytes.getBytes(StandardCharsets.ISO_8859_1);
        boolean valid = true;
        for (int from = 0; from < all.length; from += partSize) {
            channel.writeInbound(Unpooled.copiedBuffer(all, from, Math.min(partSize, all.length - from)));
            for (HttpObject next = channel.readInbound(); next != null; next = channel.readInbound()) {
                valid &= next.decoderResult().isSuccess();
                ReferenceCountUtil.release(next);
            }
        }
        channel.finishAndReleaseAll();
        return valid;
    }

    /** Whatever the reads of a connection return, since bytes before a head are seen at its beginning only. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 7, 1000})
    void successiveAnswersAreValid(int partSize) {
        String one =
                "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX-y_z~1:2\r\nVia: HTTP/1.1 x\r\nFolded: a\r\n b\r\n\r\nbody";
        String chunked = "HTTP/1.0 599\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nTrailer: 1\r\n\r\n";
        String interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 \u00fcber\r\nLink: x\r\n\r\n";
        assertThat(isValid(one + chunked + interim + one, partSize)).isTrue();
    }

    @ParameterizedTest
    @CsvSource({
        "'HTTP/1.1 000 X\r\n\r\n', 1",
        "'HTTP/1.1 000 X\r\n\r\n', 1000",
        "'\r\nHTTP/1.1 200 X\r\n\r\n', 1",
        "'\r\nHTTP/1.1 200 X\r\n\r\n', 2",
        "'\u0001HTTP/1.1 200 X\r\n\r\n', 1000",
        "'HTTP/1.1 200 X\r\nContent-Length odd: 2\r\n\r\n', 3",
        "'HTTP/1.1 503 XHTTP/1.1 200 X\r\n\r\n', 5",
        "'HTTP/1.1 503 X\r\nOdd: 1HTTP/1.1 200 X\r\n\r\n', 5",
        "'HTTP/1.1 100 X\r\n\r\n\r\nHTTP/1.1 200 X\r\n\r\n', 1",
        "'HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nOdd name: 1\r\n\r\n', 1",
        "'HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nOdd\u0001name: 1\r\n\r\n', 1000"
    })
    void anInvalidHeadOrTrailerIsNoted(String bytes, int partSize) {
        assertThat(isValid(bytes, partSize)).isFalse();
    }
}
