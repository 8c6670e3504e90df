package org.mangoridge.web;

import java.nio.charset.StandardCharsets;

import org.mangoridge.http.Headers;
import org.mangoridge.http.Json;

/** The reply to a request. */
public sealed interface WebReply {

    /**
     * A reply whose body is held in memory.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @param body the body, empty for none
     */
    record Buffered(int status, Headers headers, byte[] body) implements WebReply {}

    /**
     * A reply whose body is sent while it is written.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @param body writes the body; it runs on the thread of the handler
     */
    record Streamed(int status, Headers headers, StreamBody body) implements WebReply {}

    /** Closes the connection without a reply. */
    record Dropped() implements WebReply {}

    /** Returns a copy of this reply with one more header; {@link Dropped} has no headers and is returned as it is. */
    default WebReply withHeader(String name, String value) {
        return switch (this) {
            case Buffered buffered ->
                new Buffered(buffered.status(), buffered.headers().with(name, value), buffered.body());
            case Streamed streamed ->
                new Streamed(streamed.status(), streamed.headers().with(name, value), streamed.body());
            case Dropped dropped -> dropped;
        };
    }

    /** Returns a reply with {@code message} as JSON. */
    static WebReply json(int status, Object message) {
        return json(status, Headers.empty(), message);
    }

    /** Returns a reply with {@code headers}, and {@code message} as JSON. */
    static WebReply json(int status, Headers headers, Object message) {
        return new Buffered(status, headers.with("Content-Type", "application/json"), Json.bytes(message));
    }

    /** Returns a reply with plain text. */
    static WebReply text(int status, String text) {
        Headers headers = Headers.of("Content-Type", "text/plain; charset=utf-8");
        return new Buffered(status, headers, text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns a reply with status 200 that streams the server-sent events written by {@code body}. */
    static WebReply events(Headers headers, StreamBody body) {
        Headers eventHeaders = headers.with("Content-Type", "text/event-stream").with("Cache-Control", "no-cache");
        return new Streamed(200, eventHeaders, body);
    }
}
