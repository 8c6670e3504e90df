package org.mangoridge.web;

import java.nio.charset.StandardCharsets;

import org.mangoridge.http.Headers;
import org.mangoridge.http.Json;

/** The answer to a request. */
public sealed interface WebReply {

    /**
     * An answer whose body is known.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @param body the body, empty for none
     */
    record Buffered(int status, Headers headers, byte[] body) implements WebReply {}

    /**
     * An answer whose body is written piece by piece.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @param body writes the body, on the thread of the handler
     */
    record Streamed(int status, Headers headers, StreamBody body) implements WebReply {}

    /** No answer at all: the connection is closed. */
    record Dropped() implements WebReply {}

    /** Returns this answer with another header; an answer that is dropped stays as it is. */
    default WebReply withHeader(String name, String value) {
        return switch (this) {
            case Buffered buffered ->
                new Buffered(buffered.status(), buffered.headers().with(name, value), buffered.body());
            case Streamed streamed ->
                new Streamed(streamed.status(), streamed.headers().with(name, value), streamed.body());
            case Dropped dropped -> dropped;
        };
    }

    /** Returns an answer with {@code message} as JSON. */
    static WebReply json(int status, Object message) {
        return json(status, Headers.empty(), message);
    }

    /** Returns an answer with headers and {@code message} as JSON. */
    static WebReply json(int status, Headers headers, Object message) {
        return new Buffered(status, headers.with("Content-Type", "application/json"), Json.bytes(message));
    }

    /** Returns an answer with plain text. */
    static WebReply text(int status, String text) {
        Headers headers = Headers.of("Content-Type", "text/plain; charset=utf-8");
        return new Buffered(status, headers, text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns an answer of server-sent events that {@code body} writes. */
    static WebReply events(Headers headers, StreamBody body) {
        Headers all = headers.with("Content-Type", "text/event-stream").with("Cache-Control", "no-cache");
        return new Streamed(200, all, body);
    }
}
