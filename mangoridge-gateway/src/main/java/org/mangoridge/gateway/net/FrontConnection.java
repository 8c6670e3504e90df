package org.mangoridge.gateway.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.time.Duration;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.Clock;

/**
 * One connection of a caller: aggregates requests and dispatches them one after the other.
 *
 * <p>Pipelined requests wait as bytes until the response before them has been sent.
 */
final class FrontConnection extends ChannelInboundHandlerAdapter {

    /** Number of bytes of pipelined requests at which reading stops. */
    private static final int MAX_PIPELINED_BYTES = 16 << 10;

    /** Value of {@code SO_LINGER} with which a socket is reset when it is closed. */
    private static final int RESET_ON_CLOSE = 0;
    /** Value of {@code SO_LINGER} with which a closed socket sends what it has taken. */
    private static final int NO_LINGER = -1;

    private static final HostPort UNKNOWN_CALLER = new HostPort("unknown", 0);

    private final Clock clock;
    private final FrontState state;
    private final RequestHandler handler;
    private final BodyMemory memory;
    private final BufferMemory buffers;
    private final StrictRequestDecoder decoder;
    private ChannelHandlerContext context;
    /** The request's head, and the bytes that wait to be decoded or to be written to the socket. */
    private BufferMemory.Buffer held;

    private long unsentBytes;
    private HttpRequest head;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;
    private Duration headArrivedAt;
    private Duration waitingSince;
    private boolean partialHead;
    private boolean keepAlive;
    private FrontExchange exchange;
    private boolean closing;

    FrontConnection(
            Clock clock,
            FrontState state,
            RequestHandler handler,
            BodyMemory memory,
            BufferMemory buffers,
            StrictRequestDecoder decoder) {
        this.clock = clock;
        this.state = state;
        this.handler = handler;
        this.memory = memory;
        this.buffers = buffers;
        this.decoder = decoder;
        this.waitingSince = clock.elapsed();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
        context = added;
        held = buffers.open(caller(added.channel().remoteAddress()), this::closeIncomplete);
    }

    /** Returns the host of a caller with port 0, so that its connections count together. */
    private static HostPort caller(SocketAddress remote) {
        return remote instanceof InetSocketAddress address
                ? new HostPort(address.getAddress().getHostAddress(), 0)
                : UNKNOWN_CALLER;
    }

    /** Starts the header timeout when the first bytes of a request arrive, before they are decoded. */
    void bytesArrived() {
        if (exchange == null && head == null && !partialHead) {
            partialHead = true;
            waitingSince = clock.elapsed();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext unused, Object message) {
        HttpObject part = (HttpObject) message;
        if (closing) {
            ReferenceCountUtil.release(part);
        } else {
            process(part);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext unused) {
        updateHeld();
        updateReading();
    }

    private void updateHeld() {
        held.hold(unsentBytes + decoder.heldBytes());
    }

    private void updateReading() {
        if (!closing) {
            context.channel().config().setAutoRead(exchange == null || decoder.waitingBytes() < MAX_PIPELINED_BYTES);
        }
    }

    private void process(HttpObject part) {
        try {
            if (part.decoderResult().isFailure()) {
                reject(statusOf(part.decoderResult().cause()));
            } else if (part instanceof HttpRequest request) {
                processHead(request);
            }
            if (!closing && exchange == null && part instanceof HttpContent content) {
                processContent(content);
            }
        } finally {
            ReferenceCountUtil.release(part);
        }
    }

    private static HttpResponseStatus statusOf(Throwable cause) {
        if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
            return HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE;
        }
        return HttpResponseStatus.BAD_REQUEST;
    }

    private void processHead(HttpRequest request) {
        partialHead = false;
        headArrivedAt = clock.elapsed();
        keepAlive = HttpUtil.isKeepAlive(request);
        if (RequestFraming.isAmbiguous(request)) {
            reject(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        long length = HttpUtil.getContentLength(request, -1L);
        if (length > state.limits().maxBodyBytes()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return;
        }
        head = request;
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
    }

    private void processContent(HttpContent content) {
        if (head == null) {
            return;
        }
        ByteBuf data = content.content();
        if (data.isReadable()) {
            if (body.readableBytes() + data.readableBytes() > state.limits().maxBodyBytes()) {
                reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
                return;
            }
            if (!reserve(body.readableBytes() + data.readableBytes())) {
                reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
                return;
            }
            body.writeBytes(data);
        }
        if (content instanceof LastHttpContent) {
            dispatch();
        }
    }

    /** Makes room for the first {@code bytes} of the body; reserves its capacity, of which up to half stays empty. */
    private boolean reserve(int bytes) {
        if (bytes <= body.capacity()) {
            return true;
        }
        int capacity = body.capacity() == 0 ? bytes : context.alloc().calculateNewCapacity(bytes, Integer.MAX_VALUE);
        if (!memory.tryReserve(capacity - body.capacity())) {
            return false;
        }
        if (body == Unpooled.EMPTY_BUFFER) {
            body = context.alloc().heapBuffer(capacity);
        } else {
            body.capacity(capacity);
        }
        return true;
    }

    private void dispatch() {
        boolean chunksAllowed = head.protocolVersion().compareTo(HttpVersion.HTTP_1_0) > 0;
        InboundRequest request = new InboundRequest(head.method(), head.uri(), head.headers(), body, headArrivedAt);
        head = null;
        body = Unpooled.EMPTY_BUFFER;
        decoder.pause();
        exchange = new FrontExchange(this, context, request, keepAlive, chunksAllowed);
        handler.handle(exchange);
    }

    /** Writes a part of a response, which is charged until the socket has taken it. */
    ChannelFuture send(HttpObject part) {
        ByteBuf content = part instanceof HttpContent holder ? holder.content() : Unpooled.EMPTY_BUFFER;
        long spareBytes = content.isReadable() ? content.capacity() - content.readableBytes() : 0;
        long pendingBefore = pendingBytes();
        ChannelFuture sent = context.write(part);
        long bytes = pendingBytes() - pendingBefore + spareBytes;
        context.flush();
        if (!sent.isDone()) {
            unsentBytes += bytes;
            updateHeld();
            sent.addListener(done -> {
                unsentBytes -= bytes;
                updateHeld();
            });
        }
        return sent;
    }

    private long pendingBytes() {
        ChannelOutboundBuffer pending = context.channel().unsafe().outboundBuffer();
        return pending == null ? 0 : pending.totalPendingWriteBytes();
    }

    /**
     * Sets whether the response that is sent has no length and no chunks, so that only a reset tells that it is cut: by any
     * close, or by the end of the process.
     */
    void setEndsWithConnection(boolean ends) {
        context.channel().config().setOption(ChannelOption.SO_LINGER, ends ? RESET_ON_CLOSE : NO_LINGER);
    }

    /** Closes the connection so that the caller sees that its response is not complete. */
    void closeIncomplete() {
        closing = true;
        context.close();
    }

    /** Continues with the next request after a response was sent, unless the connection closes. */
    void responseSent(FrontExchange done, boolean close) {
        releaseBody(done.request().body());
        exchange = null;
        waitingSince = clock.elapsed();
        closing |= close;
        // Decodes what waits even if the connection closes: a closing connection drops what it has read.
        decoder.resume();
        partialHead |= exchange == null && head == null && decoder.heldBytes() > 0;
        updateHeld();
        updateReading();
    }

    /** Returns whether the shutdown closes the connection after this response: no further request has been read. */
    boolean closesAfterResponse() {
        return state.draining() && decoder.waitingBytes() == 0;
    }

    private void reject(HttpResponseStatus status) {
        closing = true;
        releaseBody(body);
        body = Unpooled.EMPTY_BUFFER;
        head = null;
        FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.EMPTY_BUFFER);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
        response.headers().set(HttpHeaderNames.CONNECTION, "close");
        context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    /** Closes the connection if the header or idle timeout has expired; called periodically. */
    void closeIfTimedOut() {
        if (exchange != null || closing) {
            return;
        }
        Duration now = clock.elapsed();
        Duration waited = now.minus(waitingSince);
        if (head != null) {
            if (now.minus(headArrivedAt).compareTo(state.limits().idleTimeout()) > 0) {
                reject(HttpResponseStatus.REQUEST_TIMEOUT);
            }
        } else if (partialHead) {
            if (waited.compareTo(state.limits().headerTimeout()) > 0) {
                reject(HttpResponseStatus.REQUEST_TIMEOUT);
            }
        } else if (waited.compareTo(state.limits().idleTimeout()) > 0) {
            closing = true;
            context.close();
        }
    }

    /** Closes the connection if it has had no request for {@code idleTime}. */
    void closeIfIdle(Duration idleTime) {
        boolean idle = exchange == null && head == null && !partialHead && !closing;
        if (idle && clock.elapsed().minus(waitingSince).compareTo(idleTime) >= 0) {
            closing = true;
            context.close();
        }
    }

    boolean hasRequestInProgress() {
        return exchange != null;
    }

    boolean hasUnansweredRequest() {
        return exchange != null && !exchange.responseStarted();
    }

    /** Returns whether a response is in progress or has not been sent entirely. */
    boolean hasUnsentResponse() {
        ChannelOutboundBuffer unsent = context.channel().unsafe().outboundBuffer();
        return exchange != null || unsent != null && !unsent.isEmpty();
    }

    /** Returns whether a request has been read in part. */
    boolean isReadingRequest() {
        return exchange == null && !closing && (head != null || partialHead);
    }

    /** Answers the request in progress unless its response has begun, or the request that is being read. */
    void endUnansweredRequest() {
        if (exchange == null || !exchange.responseStarted()) {
            endRequest();
        }
    }

    /** Ends the request in progress, or answers the one that is being read, because the instance is about to stop. */
    void endRequest() {
        if (exchange != null) {
            exchange.instanceStops();
        } else if (head != null && !closing) {
            // The handler refuses it, as the instance takes no request any more; the rest of its body is not read.
            keepAlive = false;
            dispatch();
            endRequest();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        closing = true;
        held.close();
        releaseBody(body);
        body = Unpooled.EMPTY_BUFFER;
        if (exchange != null) {
            FrontExchange interrupted = exchange;
            exchange = null;
            interrupted.callerGone();
            releaseBody(interrupted.request().body());
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext unused) {
        if (exchange != null) {
            exchange.writable(context.channel().isWritable());
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext unused, Throwable cause) {
        if (!(cause instanceof IOException)) {
            state.connectionFailed(cause);
        }
        context.close();
    }

    private void releaseBody(ByteBuf buffer) {
        memory.release(buffer.capacity());
        buffer.release();
    }

    static DefaultHttpHeaders noHeaders() {
        return new DefaultHttpHeaders();
    }
}
