package org.mangoridge.gateway.net;

import java.time.Duration;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.Clock;
import org.mangoridge.core.verdict.AttemptProgress;

/**
 * One connection to a server, which carries one call at a time.
 *
 * <p>An answer that names another request than the call is dropped. One that names none fails a call that has an id,
 * unless it is the first on the connection: otherwise it may be a copy of the answer to an earlier call.
 *
 * <p>It never carries two attempts of one request, whose answers bear the same id. It is reused only if the response was
 * complete, belonged to the request and left no data behind. Data that arrives while no call is in progress closes the
 * connection.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {

    private static final int MAX_REASON_CHARACTERS = 120;

    private final HostPort address;
    private final Clock clock;
    private final UpstreamPool pool;
    private final ResponseDecoder decoder;
    /** The head of the response and what is not decoded. */
    private final BufferMemory.Buffer held;

    private Channel channel;
    private CallListener listener;
    private AttemptProgress progress = AttemptProgress.BEFORE_CONNECT;
    private boolean skippingResponse;
    private boolean informationalResponse;
    private boolean reusable;
    private boolean idleAfterRead;
    private boolean requestWritten;
    private Duration announcedIdleTimeout;
    private Duration idleSince = Duration.ZERO;
    private ConnectionUse use = ConnectionUse.NEW;
    private Optional<RequestId> requestId = Optional.empty();
    private int calls;
    private final CarriedRequests carried = new CarriedRequests();

    UpstreamConnection(
            HostPort address, Clock clock, UpstreamPool pool, ResponseDecoder decoder, BufferMemory buffers) {
        this.address = address;
        this.clock = clock;
        this.pool = pool;
        this.decoder = decoder;
        this.held = buffers.open(
                address, () -> fail(new CallFailure(progress, false, "response head takes too much memory")));
    }

    HostPort address() {
        return address;
    }

    Duration idleSince() {
        return idleSince;
    }

    /** Returns whether a request can't be told from one that the connection has carried. */
    boolean hasCarried(RequestId id) {
        return carried.mayContain(id);
    }

    /** Returns the idle timeout from the {@code Keep-Alive} header of the last response; null if there was none. */
    Duration announcedIdleTimeout() {
        return announcedIdleTimeout;
    }

    boolean isOpen() {
        return channel != null && channel.isActive();
    }

    /**
     * Reads what the server has sent since the last response; returns whether there was nothing and the connection is
     * open. The idle time does not tell, since the event loop may have read nothing for all of it.
     */
    boolean isUsableAfterRead() {
        ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
        if (isOpen() && decoder.hasPartialResponse()) {
            closeForSurplusBytes();
        }
        return isOpen();
    }

    void opened(Channel opened) {
        channel = opened;
        progress = AttemptProgress.CONNECTED;
    }

    /** Returns what the connection had been used for when its newest call began. */
    ConnectionUse use() {
        return use;
    }

    /** Sends a request; {@code newListener} receives the events of the call. */
    void send(UpstreamRequest request, CallListener newListener) {
        listener = newListener;
        use = calls == 0
                ? ConnectionUse.NEW
                : new ConnectionUse(calls, clock.elapsed().minus(idleSince));
        calls++;
        requestId = request.id();
        requestId.ifPresent(carried::add);
        decoder.expectBodiless(request.method().equals(HttpMethod.HEAD));
        progress = AttemptProgress.CONNECTED;
        reusable = true;
        skippingResponse = false;
        requestWritten = false;
        announcedIdleTimeout = null;
        newListener.connected();
        if (listener != newListener) {
            return;
        }
        ByteBuf body = request.body().retainedDuplicate();
        DefaultFullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, request.method(), request.uri(), body, request.headers(), emptyTrailers());
        boolean needsContentLength = body.isReadable() || !request.method().equals(HttpMethod.GET);
        if (needsContentLength) {
            HttpUtil.setContentLength(message, body.readableBytes());
        }
        progress = AttemptProgress.REQUEST_SENT;
        channel.writeAndFlush(message).addListener(future -> {
            if (future.isSuccess()) {
                requestWritten = true;
            } else if (listener == newListener) {
                fail(new CallFailure(progress, false, "request could not be written: " + future.cause()));
            }
        });
    }

    private static io.netty.handler.codec.http.HttpHeaders emptyTrailers() {
        return io.netty.handler.codec.http.EmptyHttpHeaders.INSTANCE;
    }

    /** Cancels the call of the listener by closing the connection, if it is still in progress. */
    void cancel(CallListener cancelled) {
        if (listener == cancelled) {
            listener = null;
            close();
        }
    }

    /** Pauses or resumes reading; a pause keeps the response to a slow caller from filling memory. */
    void setReading(boolean enabled) {
        if (channel != null) {
            channel.config().setAutoRead(enabled);
        }
    }

    AttemptProgress progress() {
        return progress;
    }

    void close() {
        held.close();
        pool.removeIdle(this);
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (listener == null) {
                closeForSurplusBytes();
            } else if (message instanceof HttpResponse head) {
                head(head);
                if (message instanceof HttpContent content) {
                    content(content);
                }
            } else if (message instanceof HttpContent content) {
                content(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void head(HttpResponse head) {
        if (head.decoderResult().isFailure()) {
            pool.counters().invalidHead().inc();
            fail(new CallFailure(progress, false, "response head is not valid HTTP: " + reason(head)));
            return;
        }
        informationalResponse = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (informationalResponse) {
            return;
        }
        Optional<RequestId> answered = pool.answeredRequest(head);
        if (requestId.isPresent() && answered.isEmpty()) {
            pool.counters().unnamed().inc();
            if (calls > 1) {
                fail(new CallFailure(progress, false, "response names no request"));
                return;
            }
            // A copy of this answer could not be told from the answer to a later call without an id.
            reusable = false;
        }
        boolean hasFramedBody = HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
        boolean bodiless = head.status().code() == 204 || head.status().code() == 304;
        skippingResponse = answered.isPresent() && !answered.equals(requestId);
        if (skippingResponse) {
            pool.counters().foreign().inc();
            reusable = false;
            listener.foreignAnswerDropped();
            if (listener != null && (!hasFramedBody && !bodiless || decoder.expectsBodiless())) {
                fail(new CallFailure(progress, false, "response of unknown length names another request"));
            }
            return;
        }
        progress = AttemptProgress.ANSWER_PARTLY_RECEIVED;
        listener.head(head);
        reusable &= HttpUtil.isKeepAlive(head) && (hasFramedBody || bodiless) && !decoder.hadAmbiguousLength();
        announcedIdleTimeout = KeepAliveHeader.timeout(head.headers().get(HttpHeaderNames.KEEP_ALIVE));
    }

    /** Returns why a head is invalid, in part if that quotes much of what the server sent. */
    private static String reason(HttpResponse head) {
        String reason = String.valueOf(head.decoderResult().cause().getMessage());
        return reason.substring(0, Math.min(reason.length(), MAX_REASON_CHARACTERS));
    }

    private void closeForSurplusBytes() {
        if (isOpen()) {
            pool.counters().surplus().inc();
        }
        close();
    }

    private void content(HttpContent content) {
        if (listener == null) {
            return;
        }
        if (content.decoderResult().isFailure()) {
            fail(new CallFailure(progress, false, "response body is malformed"));
            return;
        }
        boolean last = content instanceof LastHttpContent;
        if (informationalResponse || skippingResponse) {
            informationalResponse &= !last;
            skippingResponse &= !last;
            return;
        }
        if (content.content().isReadable()) {
            listener.data(content.content());
        }
        if (last && listener != null) {
            end();
        }
    }

    private void end() {
        CallListener done = listener;
        listener = null;
        progress = AttemptProgress.ANSWER_RECEIVED;
        setReading(true);
        idleSince = clock.elapsed();
        if (reusable && requestWritten && !carried.isFull()) {
            idleAfterRead = true;
        } else {
            close();
        }
        done.completed();
    }

    /** Makes the connection available for further calls only now, when all bytes that were read are decoded. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        held.hold(listener == null ? 0 : decoder.heldBytes());
        if (idleAfterRead) {
            idleAfterRead = false;
            if (isOpen()) {
                pool.addIdle(this);
            }
        }
    }

    private void fail(CallFailure failure) {
        CallListener failing = listener;
        listener = null;
        close();
        if (failing != null) {
            failing.failed(failure);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        fail(new CallFailure(progress, false, "connection closed by server"));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        fail(new CallFailure(progress, false, String.valueOf(cause.getMessage())));
    }
}
