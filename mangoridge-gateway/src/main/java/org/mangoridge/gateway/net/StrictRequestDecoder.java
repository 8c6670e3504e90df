package org.mangoridge.gateway.net;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.util.AsciiString;

/**
 * Rejects requests with both {@code Content-Length} and {@code Transfer-Encoding}, of which Netty would pick one.
 *
 * <p>While it is paused, requests wait as bytes, since decoded ones take many times the memory.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    private ChannelHandlerContext context;
    private boolean paused;
    private boolean decoding;
    private final HeadSize head = new HeadSize();
    private boolean headComplete;

    StrictRequestDecoder(HttpDecoderConfig config) {
        super(config);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
    }

    /** Decodes nothing until {@link #resume()}; may be called by a handler of a decoded message. */
    void pause() {
        paused = true;
    }

    /** Decodes the bytes that wait, before it returns or, if it decodes already, after the message in progress. */
    void resume() {
        paused = false;
        head.reset();
        headComplete = false;
        if (!decoding && actualReadableBytes() > 0) {
            try {
                channelRead(context, Unpooled.EMPTY_BUFFER);
            } catch (Exception e) {
                context.fireExceptionCaught(e);
            }
        }
    }

    /** Returns the number of bytes that are not decoded yet. */
    int waitingBytes() {
        return actualReadableBytes();
    }

    /** Returns the memory in bytes of what is not decoded and of the newest head, until {@link #resume()} ends its request. */
    long heldBytes() {
        return head.heldBytes() + (actualReadableBytes() > 0 ? internalBuffer().capacity() : 0);
    }

    @Override
    public void channelRead(ChannelHandlerContext unused, Object message) throws Exception {
        decoding = true;
        try {
            super.channelRead(context, message);
        } finally {
            decoding = false;
        }
    }

    /** Does not read on by itself while it is paused, as the decoder does when no message was complete. */
    @Override
    public void channelReadComplete(ChannelHandlerContext unused) throws Exception {
        if (paused) {
            discardSomeReadBytes();
            context.fireChannelReadComplete();
        } else {
            super.channelReadComplete(context);
        }
    }

    @Override
    protected void decode(ChannelHandlerContext unused, ByteBuf buffer, List<Object> out) throws Exception {
        if (paused) {
            return;
        }
        int readable = buffer.readableBytes();
        int decoded = out.size();
        super.decode(context, buffer, out);
        if (!headComplete) {
            head.addCharacters(readable - buffer.readableBytes());
            headComplete = out.size() > decoded;
        }
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        head.addHeader();
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("request has both Content-Length and Transfer-Encoding: chunked");
    }
}
