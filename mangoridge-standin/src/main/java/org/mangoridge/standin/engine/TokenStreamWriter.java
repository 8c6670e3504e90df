package org.mangoridge.standin.engine;

import java.time.Duration;

import org.mangoridge.engine.EngineMessages;
import org.mangoridge.http.Json;
import org.mangoridge.web.StreamSink;
import org.mangoridge.web.WebRequest;

/** Generates the tokens of one attempt at the engine's pace and writes them as events. */
final class TokenStreamWriter {

    private static final String FINISH_LENGTH = "length";
    private static final String FINISH_STOP = "stop";
    private static final String OTHER_ATTEMPT = "other-request.1";

    private final EngineMonitor engine;
    private final EngineSizes sizes;
    private final SilencedCalls silenced;
    private final EngineMessages.DecodeRequest request;
    private final WebRequest web;
    private final Duration opened;

    TokenStreamWriter(
            EngineMonitor engine,
            EngineSizes sizes,
            SilencedCalls silenced,
            EngineMessages.DecodeRequest request,
            WebRequest web) {
        this.engine = engine;
        this.sizes = sizes;
        this.silenced = silenced;
        this.request = request;
        this.web = web;
        this.opened = engine.now();
    }

    /** Writes every event, or aborts the stream if the attempt loses its slot or the peer goes. */
    void writeTo(StreamSink sink) {
        try {
            if (prefill() && tokens(sink)) {
                return;
            }
            sink.abort();
        } finally {
            engine.apply((core, now) -> core.release(request.attempt(), now));
        }
    }

    private boolean prefill() {
        return engine.apply((core, now) -> core.prefillBeforeDecode(request, now))
                        .map(prefill -> engine.await(prefill.job()))
                        .orElse(true)
                && engine.apply((core, now) -> core.beginDecode(request.attempt(), now));
    }

    private boolean tokens(StreamSink sink) {
        int end = OutputLength.of(request.prompt(), request.maxTokens(), sizes.minOutputTokens());
        Duration due = engine.now();
        for (int index = request.firstIndex(); index < end; index++) {
            due = due.plus(engine.query(EngineCore::tokenInterval));
            engine.sleepUntil(due);
            due = awaitProgress(due);
            boolean generated = engine.query((core, now) -> core.generateToken(request.attempt()));
            if (!generated || isGone() || !sendToken(sink, index)) {
                return false;
            }
        }
        String finish = end < request.maxTokens() ? FINISH_STOP : FINISH_LENGTH;
        return send(sink, request.attempt(), end, null, finish);
    }

    /** Waits while the engine is stalled, and moves the time that the next token is due. */
    private Duration awaitProgress(Duration due) {
        if (!engine.query((core, now) -> core.faults().stalled())) {
            return due;
        }
        engine.awaitWhile(() ->
                engine.query((core, now) -> core.faults().stalled() && core.holds(request.attempt()) && !isGone()));
        return engine.now();
    }

    private boolean isGone() {
        return web.connection().isClosed() || engine.query((core, now) -> core.isDisconnected(request.attempt(), now));
    }

    private boolean sendToken(StreamSink sink, int index) {
        String text = TokenText.of(request.prompt(), index);
        int crossedEvery = engine.query((core, now) -> core.faults().crossedEvery());
        if (crossedEvery > 0 && index % crossedEvery == 0 && !send(sink, OTHER_ATTEMPT, index, " crossed", null)) {
            return false;
        }
        return send(sink, request.attempt(), index, text, null);
    }

    private boolean send(StreamSink sink, String attempt, int index, String text, String finish) {
        if (silenced.isSilent(opened)) {
            silenced.awaitDisconnect(web);
            return false;
        }
        return sink.writeEvent(Json.text(new EngineMessages.StreamEvent(attempt, index, text, finish)));
    }
}
