package org.mangoridge.gateway.net;

import java.time.Duration;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.Clock;
import org.mangoridge.core.verdict.AttemptProgress;

/**
 * One connection to a server, which carries one call at a time.
 *
 * <p>It is kept after a call only if the answer was complete, named the right request and left nothing behind. Bytes
 * that come without a call close it.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {

    private final HostPort address;
    private final Clock clock;
    private final UpstreamPool pool;
    private Channel channel;
    private CallListener listener;
    private AttemptProgress progress = AttemptProgress.BEFORE_CONNECT;
    private boolean skipping;
    private boolean informational;
    private boolean reusable;
    private boolean requestWritten;
    private Duration keepAlive;
    private Duration idleSince = Duration.ZERO;

    UpstreamConnection(HostPort address, Clock clock, UpstreamPool pool) {
        this.address = address;
        this.clock = clock;
        this.pool = pool;
    }

    HostPort address() {
        return address;
    }

    Duration idleSince() {
        return idleSince;
    }

    /** Returns how long the server keeps the connection without a request, as it said itself. */
    Duration keepAlive() {
        return keepAlive;
    }

    boolean isOpen() {
        return channel != null && channel.isActive();
    }

    void opened(Channel opened) {
        channel = opened;
        progress = AttemptProgress.CONNECTED;
    }

    /** Sends a request; the listener hears of the answer. */
    void send(UpstreamRequest request, CallListener newListener) {
        listener = newListener;
        progress = AttemptProgress.CONNECTED;
        reusable = true;
        skipping = false;
        requestWritten = false;
        keepAlive = null;
        newListener.connected();
        if (listener != newListener) {
            return;
        }
        ByteBuf body = request.body().retainedDuplicate();
        DefaultFullHttpRequest message = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, request.method(), request.uri(), body, request.headers(), emptyTrailers());
        boolean framed = body.isReadable() || !request.method().equals(HttpMethod.GET);
        if (framed) {
            HttpUtil.setContentLength(message, body.readableBytes());
        }
        progress = AttemptProgress.REQUEST_SENT;
        channel.writeAndFlush(message).addListener(future -> {
            if (future.isSuccess()) {
                requestWritten = true;
            } else if (listener == newListener) {
                fail(new CallFailure(progress, false, "write failed: " + future.cause()));
            }
        });
    }

    private static io.netty.handler.codec.http.HttpHeaders emptyTrailers() {
        return io.netty.handler.codec.http.EmptyHttpHeaders.INSTANCE;
    }

    /** Gives the call up; the server sees the connection close. */
    void cancel(CallListener of) {
        if (listener == of) {
            listener = null;
            close();
        }
    }

    /** Stops or goes on reading, so that a slow caller does not fill memory. */
    void reading(boolean on) {
        if (channel != null) {
            channel.config().setAutoRead(on);
        }
    }

    AttemptProgress progress() {
        return progress;
    }

    void close() {
        pool.closed(this);
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            if (listener == null) {
                close();
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
            fail(new CallFailure(progress, false, "answer is not HTTP"));
            return;
        }
        informational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        if (informational) {
            return;
        }
        skipping = !listener.head(head);
        if (listener == null) {
            return;
        }
        if (skipping) {
            reusable = false;
            return;
        }
        progress = AttemptProgress.ANSWER_PARTLY_RECEIVED;
        boolean sized = HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
        boolean bodiless = head.status().code() == 204 || head.status().code() == 304;
        reusable &= HttpUtil.isKeepAlive(head) && (sized || bodiless);
        keepAlive = KeepAliveHeader.timeout(head.headers().get(HttpHeaderNames.KEEP_ALIVE));
    }

    private void content(HttpContent content) {
        if (listener == null) {
            return;
        }
        if (content.decoderResult().isFailure()) {
            fail(new CallFailure(progress, false, "answer is broken"));
            return;
        }
        boolean last = content instanceof LastHttpContent;
        if (informational || skipping) {
            informational &= !last;
            skipping &= !last;
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
        reading(true);
        idleSince = clock.elapsed();
        if (reusable && requestWritten) {
            pool.idle(this);
        } else {
            close();
        }
        done.completed();
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
