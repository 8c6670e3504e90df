package org.mangoridge.gateway.net;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Rejects requests with both {@code Content-Length} and {@code Transfer-Encoding}, of which Netty would pick one. */
final class StrictRequestDecoder extends HttpRequestDecoder {

    StrictRequestDecoder(HttpDecoderConfig config) {
        super(config);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("request has both Content-Length and Transfer-Encoding: chunked");
    }
}
