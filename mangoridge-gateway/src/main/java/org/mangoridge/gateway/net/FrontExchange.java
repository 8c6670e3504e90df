package org.mangoridge.gateway.net;

import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/** The exchange of one request and its response on a connection of a caller. */
final class FrontExchange implements CallerExchange {

    private final FrontConnection connection;
    private final ChannelHandlerContext context;
    private final InboundRequest request;
    private final boolean keepAlive;
    private final boolean chunksAllowed;
    private Runnable disconnectListener = () -> {};
    private Runnable stopListener = this::abort;
    private Consumer<Boolean> writabilityListener = ignored -> {};
    private boolean started;
    /** What was written to the body since it was last sent; null if nothing was. */
    private ByteBuf unsent;

    private boolean ended;
    private boolean closeAfter;
    /** Whether the response was begun without chunks, so that only a reset tells that it is not complete. */
    private boolean endsWithConnection;

    FrontExchange(
            FrontConnection connection,
            ChannelHandlerContext context,
            InboundRequest request,
            boolean keepAlive,
            boolean chunksAllowed) {
        this.connection = connection;
        this.context = context;
        this.request = request;
        this.keepAlive = keepAlive;
        this.chunksAllowed = chunksAllowed;
    }

    @Override
    public InboundRequest request() {
        return request;
    }

    @Override
    public boolean responseStarted() {
        return started;
    }

    @Override
    public void respond(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
        if (ended || started) {
            body.release();
            abort();
            return;
        }
        headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        setConnectionHeader(headers);
        if (request.method().equals(HttpMethod.HEAD)) {
            body.clear();
        }
        end(send(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body, headers, EmptyHttpHeaders.INSTANCE)));
    }

    @Override
    public void startResponse(HttpResponseStatus status, HttpHeaders headers) {
        if (ended || started) {
            abort();
            return;
        }
        started = true;
        headers.remove(HttpHeaderNames.CONTENT_LENGTH);
        if (chunksAllowed) {
            headers.set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        endsWithConnection = !chunksAllowed;
        if (endsWithConnection) {
            connection.setEndsWithConnection(true);
        }
        setConnectionHeader(headers);
        send(new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers));
    }

    private void setConnectionHeader(HttpHeaders headers) {
        closeAfter = !keepAlive || endsWithConnection || connection.closesAfterResponse();
        if (closeAfter) {
            headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    @Override
    public void write(ByteBuf data) {
        if (ended || !started) {
            data.release();
            abort();
            return;
        }
        if (unsent == null) {
            unsent = context.alloc().buffer(data.readableBytes());
            context.executor().execute(this::sendUnsent);
        }
        unsent.writeBytes(data);
        data.release();
    }

    /** Sends what was written in this turn of the event loop as one chunk, since each chunk is a write to the socket. */
    private void sendUnsent() {
        if (unsent != null) {
            HttpObject part = new DefaultHttpContent(unsent);
            unsent = null;
            send(part);
        }
    }

    @Override
    public void finish() {
        if (started && !ended) {
            sendUnsent();
            end(send(LastHttpContent.EMPTY_LAST_CONTENT));
        } else {
            abort();
        }
    }

    @Override
    public void abort() {
        if (!ended) {
            sendUnsent();
            ended = true;
            connection.responseSent(this, true);
            connection.closeIncomplete();
        }
    }

    @Override
    public void onDisconnect(Runnable listener) {
        disconnectListener = listener;
    }

    @Override
    public void onWritabilityChange(Consumer<Boolean> listener) {
        writabilityListener = listener;
    }

    @Override
    public void onInstanceStop(Runnable listener) {
        stopListener = listener;
    }

    /** Ends the response because the instance is about to stop. */
    void instanceStops() {
        stopListener.run();
    }

    void callerGone() {
        if (!ended) {
            ended = true;
            if (unsent != null) {
                unsent.release();
                unsent = null;
            }
            disconnectListener.run();
        }
    }

    void writable(boolean nowWritable) {
        writabilityListener.accept(nowWritable);
    }

    /** Sends a part of the response; a part that can't be written closes the connection, as the response lacks it. */
    private ChannelFuture send(HttpObject part) {
        return connection.send(part).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
    }

    private void end(ChannelFuture sent) {
        ended = true;
        if (endsWithConnection) {
            sent.addListener(done -> {
                if (done.isSuccess()) {
                    connection.setEndsWithConnection(false);
                }
            });
        }
        if (closeAfter) {
            sent.addListener(ChannelFutureListener.CLOSE);
        }
        connection.responseSent(this, closeAfter);
    }
}
