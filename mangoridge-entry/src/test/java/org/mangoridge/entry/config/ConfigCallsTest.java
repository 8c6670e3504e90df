package org.mangoridge.entry.config;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mangoridge.config.ApplyId;
import org.mangoridge.config.ApplyOutcome;
import org.mangoridge.config.PublishedConfig;
import org.mangoridge.config.Publisher;
import org.mangoridge.config.audit.AuditLog;
import org.mangoridge.config.distribution.AgentAction;
import org.mangoridge.config.distribution.AgentEvent;
import org.mangoridge.config.distribution.AgentTiming;
import org.mangoridge.config.distribution.ConfigAgent;
import org.mangoridge.config.distribution.ConfigOffer;
import org.mangoridge.config.distribution.ConfigPeers;
import org.mangoridge.core.Result;
import org.mangoridge.core.id.Generation;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.time.VirtualClock;
import org.mangoridge.objects.ObjectKey;
import org.mangoridge.objects.Precondition;
import org.mangoridge.objects.StoredObject;
import org.mangoridge.standin.platform.InMemoryObjectStore;

import static com.google.common.truth.Truth.assertThat;

class ConfigCallsTest {

    private static final InstanceId SELF = InstanceId.of("n1");
    private static final InstanceId PEER = InstanceId.of("n2");
    private static final Duration NOW = Duration.ofSeconds(10);
    private static final String CLASS = "[class counter]\nfirst-token = 1s\nper-token = 1s\nshare = %d\n";

    private final InMemoryObjectStore store = InMemoryObjectStore.create();
    private final VirtualClock clock = VirtualClock.create();
    private final AuditLog audit = AuditLog.create(store, "zone-a", new SplittableRandom(1));
    private final ConfigAgent agent =
            ConfigAgent.create(SELF, AgentTiming.standard().expectingPeers(false), new SplittableRandom(1));
    private Optional<ConfigOffer> offer = Optional.empty();
    private final ConfigCalls calls = ConfigCalls.create(store, new OnePeer(), audit, SELF, clock);

    @BeforeEach
    void publishesAndAdoptsTheFirst() {
        publish("a1", 1);
        run(new AgentEvent.Tick(ConfigPeers.View.alone(SELF)));
        assertThat(generation()).isEqualTo(1);
    }

    @Test
    void malformedHeadLeavesTheLastGoodOneInForceUntilAGoodOneComes() {
        StoredObject head = store.read(ObjectKey.of("config/head")).value().get();
        store.write(head.key(), "{\"hash\":\"00\"}".getBytes(StandardCharsets.UTF_8), at(head));
        run(calls.make(new AgentAction.ReadHead()));
        assertThat(generation()).isEqualTo(1);
        assertThat(agent.problem()).contains("does not verify");
        StoredObject bad = store.read(head.key()).value().get();
        store.write(head.key(), head.value(), at(bad));
        publish("a2", 2);
        run(calls.make(new AgentAction.ReadHead()));
        assertThat(generation()).isEqualTo(2);
        assertThat(agent.problem()).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void pieceThatWasChangedOrIsMissingIsNotAdopted(boolean isMissing) {
        publish("a2", 2);
        StoredObject piece = store.list("config/piece/a2/", "", 1).value().get(0);
        if (isMissing) {
            store.delete(piece.key(), piece.version());
        } else {
            store.write(piece.key(), "[class counter]\n".getBytes(StandardCharsets.UTF_8), at(piece));
        }
        run(calls.make(new AgentAction.ReadHead()));
        assertThat(generation()).isEqualTo(1);
        assertThat(agent.problem()).isNotEmpty();
    }

    @ParameterizedTest
    @ValueSource(strings = {"not JSON", "{}", "{\"manifest\":null,\"pieces\":{}}"})
    void offerThatDoesNotVerifyIsNotAdopted(String text) {
        offer = Optional.of(new ConfigOffer("00", text));
        AgentEvent event = calls.make(new AgentAction.AskPeer(PEER, agent.current()));
        assertThat(event).isInstanceOf(AgentEvent.Malformed.class);
        run(event);
        assertThat(generation()).isEqualTo(1);
        assertThat(agent.problem()).contains("from n2");
    }

    @Test
    void restoredPlatformGetsTheNewestBackWithAnAuditEntry() {
        store.saveCopy();
        publish("a2", 2);
        run(calls.make(new AgentAction.ReadHead()));
        store.restoreCopy();
        run(calls.make(new AgentAction.ReadHead()));
        assertThat(generation()).isEqualTo(2);
        assertThat(store.list("audit/zone-a/", "", 10).value()).hasSize(1);
        assertThat(publisher().outcomeOf(ApplyId.of("a2"))).isInstanceOf(ApplyOutcome.Accepted.class);
    }

    @Test
    void peerIsSentOnlyThePiecesThatItLacks() {
        PublishedConfig first = agent.current();
        publish("a2", 2);
        run(calls.make(new AgentAction.ReadHead()));
        ConfigOffer delta = ConfigOffer.of(agent.current(), first.manifest());
        assertThat(delta.assemble(first).value()).isEqualTo(agent.current());
        assertThat(delta.text()).contains("share = 2");
    }

    /** Runs the agent until it wants no more calls than a watch or an answer of a peer. */
    private void run(AgentEvent event) {
        for (AgentAction action : agent.handle(event, NOW)) {
            if (action instanceof AgentAction.ReadHead
                    || action instanceof AgentAction.Load
                    || action instanceof AgentAction.Restore) {
                run(calls.make(action));
            }
        }
    }

    private long generation() {
        return agent.current().manifest().generation();
    }

    private void publish(String id, int share) {
        publisher().applyText(ApplyId.of(id), "ann", CLASS.formatted(share));
    }

    private Publisher publisher() {
        return Publisher.create(store, AuditLog.create(store, AuditLog.REFUSALS, new SplittableRandom(2)), clock);
    }

    private static Precondition at(StoredObject object) {
        return Precondition.atVersion(object.version());
    }

    private final class OnePeer implements ConfigPeers {

        @Override
        public View view() {
            return new View(List.of(SELF, PEER), List.of(PEER), Optional.empty(), List.of());
        }

        @Override
        public Result<Answer, String> ask(InstanceId peer, Generation known) {
            return Result.ok(new Answer(Generation.of(9), offer));
        }
    }
}
