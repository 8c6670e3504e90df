package org.mangoridge.standin.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.mangoridge.core.Result;
import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.SystemClock;
import org.mangoridge.engine.EngineError;
import org.mangoridge.engine.EngineMessages;
import org.mangoridge.engine.TokenStream;
import org.mangoridge.engine.http.HttpModelEngine;
import org.mangoridge.http.HttpCall;
import org.mangoridge.http.HttpTransport;

import static com.google.common.truth.Truth.assertThat;

/** The protocol over real connections; nothing here rests on how fast it goes. */
class EngineStandInTest {

    private static final HostPort ANY_PORT = HostPort.parse("127.0.0.1:0");
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final AttemptId ATTEMPT = AttemptId.parse("r.1");

    private final HttpTransport transport = HttpTransport.create(TIMEOUT);
    private final EngineStandIn prefillServer = engine("prefill");
    private final EngineStandIn decodeServer = engine("decode");
    private final HttpModelEngine prefill = HttpModelEngine.create(transport, prefillServer.address());
    private final HttpModelEngine decode = HttpModelEngine.create(transport, decodeServer.address());

    @AfterEach
    void close() {
        prefillServer.close();
        decodeServer.close();
        transport.close();
    }

    @Test
    void tokensOfAnInterruptedAnswerAreTheSameElsewhere() {
        List<String> whole = handOver(0);
        assertThat(whole).hasSize(13);
        assertThat(whole.get(12)).isEqualTo("end length");
        assertThat(resume(whole, 5)).isEqualTo(whole.subList(5, 13));
        assertThat(prefillServer.hasRun("r")).isTrue();
        assertThat(prefillServer.wastedPrefillTokens() + decodeServer.wastedPrefillTokens())
                .isEqualTo(0);
    }

    @Test
    void crossedEventsNameAnotherAttempt() {
        decodeServer.injectFaults(EngineFaults.crossed(2));
        assertThat(handOver(0)).hasSize(13);
    }

    @Test
    void aCancelEndsAStreamAndFreesItsSlot() {
        decodeServer.injectFaults(EngineFaults.stall());
        reserve();
        TokenStream stream = decode.decode(decodeRequest("", 0)).value();
        assertThat(decode.heldAttempts(InstanceId.of("entry-1")).value()).hasSize(1);
        assertThat(decode.cancel(ATTEMPT).value().released()).isTrue();
        assertThat(stream.next(TIMEOUT).isOk()).isFalse();
        assertThat(decode.heldAttempts(InstanceId.of("entry-1")).value()).isEmpty();
    }

    @Test
    void theDeadDropConnectionsUntilTheyReturn() {
        HttpCall die = HttpCall.postJson(decodeServer.address().httpUri("/faults"), EngineFaults.crash(), TIMEOUT);
        assertThat(transport.send(die).value().isSuccess()).isTrue();
        assertThat(decode.loadReport().isOk()).isFalse();
        HttpCall rise = HttpCall.postJson(decodeServer.address().httpUri("/faults"), EngineFaults.none(), TIMEOUT);
        assertThat(transport.send(rise).value().isSuccess()).isTrue();
        assertThat(decode.loadReport().isOk()).isTrue();
    }

    @Test
    void anOpenConnectionGoesSilentWhileANewOneWorks() {
        decodeServer.injectFaults(EngineFaults.stall());
        reserve();
        TokenStream stream = decode.decode(decodeRequest("", 0)).value();
        decodeServer.injectFaults(EngineFaults.silence());
        assertThat(decode.loadReport().isOk()).isTrue();
        assertThat(stream.next(Duration.ofMillis(300)).isOk()).isFalse();
        stream.close();
    }

    private List<String> handOver(int firstIndex) {
        String prompt = prompt();
        reserve();
        EngineMessages.PrefillResponse done = prefill.prefill(
                        new EngineMessages.PrefillRequest(ATTEMPT.toString(), "entry-1", 1, "m", "1", prompt, 0),
                        TIMEOUT)
                .value();
        decode.importKv(
                        new EngineMessages.ImportRequest(
                                ATTEMPT.toString(),
                                done.handle(),
                                prefillServer.address().toString()),
                        TIMEOUT)
                .value();
        return read(decode.decode(decodeRequest("", firstIndex)).value());
    }

    /** Goes on at the engine that has to compute KV cache itself, under the next attempt. */
    private List<String> resume(List<String> whole, int firstIndex) {
        prefill.reserve(new EngineMessages.ReserveRequest("r.2", "entry-1", 1, 1000, 10_000, 0), TIMEOUT)
                .value();
        String generated = String.join("", whole.subList(0, firstIndex));
        return read(prefill.decode(new EngineMessages.DecodeRequest(
                        "r.2", "entry-1", 1, "m", "1", prompt(), generated, firstIndex, 12, 0))
                .value());
    }

    private void reserve() {
        decode.reserve(new EngineMessages.ReserveRequest(ATTEMPT.toString(), "entry-1", 1, 1000, 10_000, 0), TIMEOUT)
                .value();
    }

    private static EngineMessages.DecodeRequest decodeRequest(String generated, int firstIndex) {
        return new EngineMessages.DecodeRequest(
                ATTEMPT.toString(), "entry-1", 1, "m", "1", prompt(), generated, firstIndex, 12, 0);
    }

    private static List<String> read(TokenStream stream) {
        List<String> items = new ArrayList<>();
        while (true) {
            Result<TokenStream.Item, EngineError> item = stream.next(TIMEOUT);
            switch (item.value()) {
                case TokenStream.Token token -> items.add(token.text());
                case TokenStream.End end -> {
                    items.add("end " + end.finish());
                    return items;
                }
            }
        }
    }

    private static String prompt() {
        return "Summarise the tender. ".repeat(100);
    }

    private static EngineStandIn engine(String role) {
        return EngineStandIn.start(ANY_PORT, EngineProfile.of(role, "m", "1"), SystemClock.instance());
    }
}
