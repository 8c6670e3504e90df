package org.mangoridge.gateway.net;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/** Decodes requests and fails those that state the length of their body in two ways, where the library picks one. */
final class StrictRequestDecoder extends HttpRequestDecoder {

    StrictRequestDecoder(HttpDecoderConfig config) {
        super(config);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("a length and chunks together");
    }
}
