package org.mangoridge.gateway.net;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;

/** Decodes responses, of which it accepts strict heads only, and knows whether it has bytes of an incomplete one. */
final class ResponseDecoder extends HttpResponseDecoder {

    private boolean bodiless;
    private boolean withinResponse;
    private boolean ambiguousLength;
    private boolean bytesBeforeHead;
    private final HeadSize head = new HeadSize();
    private boolean headComplete;

    ResponseDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /** Returns whether responses have no body whatever their headers say. */
    boolean expectsBodiless() {
        return bodiless;
    }

    /** Sets whether responses have no body whatever their headers say, as those to a HEAD request. */
    void expectBodiless(boolean expected) {
        bodiless = expected;
    }

    /** Returns whether bytes were received since the end of the last response. */
    boolean hasPartialResponse() {
        return withinResponse || actualReadableBytes() > 0;
    }

    /** Returns the memory in bytes of what is not decoded and of the newest head. */
    long heldBytes() {
        return head.heldBytes() + (actualReadableBytes() > 0 ? internalBuffer().capacity() : 0);
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        if (bytesBeforeHead) {
            throw new IllegalArgumentException("bytes before the status line");
        }
        HeadSyntax.checkStatusLine(initialLine[0], initialLine[1], initialLine[2]);
        return super.createMessage(initialLine);
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        head.addHeader();
        HeadSyntax.checkFieldName(line, start, length);
        return super.splitHeaderName(line, start, length);
    }

    private static void checkValues(HttpMessage head) {
        try {
            head.headers().forEach(field -> HeadSyntax.checkHoldsNoStatusLine(field.getValue()));
        } catch (IllegalArgumentException e) {
            head.setDecoderResult(DecoderResult.failure(e));
        }
    }

    /** Returns whether a response had a length and chunks both. */
    boolean hadAmbiguousLength() {
        return ambiguousLength;
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        ambiguousLength = true;
        super.handleTransferEncodingChunkedWithContentLength(message);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return bodiless || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        if (headComplete && !withinResponse) {
            head.reset();
            headComplete = false;
        }
        if (!withinResponse && buffer.isReadable()) {
            // The decoder skips blanks and control characters before a status line.
            bytesBeforeHead = buffer.getByte(buffer.readerIndex()) != 'H';
        }
        int readable = buffer.readableBytes();
        int decoded = out.size();
        super.decode(context, buffer, out);
        for (Object message : out.subList(decoded, out.size())) {
            if (message instanceof HttpMessage decodedHead) {
                checkValues(decodedHead);
            }
        }
        if (!headComplete) {
            head.addCharacters(readable - buffer.readableBytes());
            headComplete = out.size() > decoded;
        }
        if (out.size() > decoded) {
            withinResponse = !(out.get(out.size() - 1) instanceof LastHttpContent);
        } else {
            withinResponse |= buffer.readableBytes() < readable;
        }
    }
}
