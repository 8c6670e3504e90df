package org.mangoridge.config.distribution;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.mangoridge.config.ConfigRepository.Head;
import org.mangoridge.config.PublishedConfig;
import org.mangoridge.config.SampleConfigs;
import org.mangoridge.core.id.Generation;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.standin.platform.InMemoryObjectStore;

import static com.google.common.truth.Truth.assertThat;

class ConfigAgentAdoptionTest {

    private static final InstanceId SELF = InstanceId.of("n1");
    private static final InstanceId PEER = InstanceId.of("n2");

    /** The ways in which an instance can receive a configuration that is not newer than its own. */
    private enum Source {
        DELAYED_LOAD,
        LAGGING_PEER,
        STALE_READ,
        DELAYED_WATCH
    }

    private final ConfigAgent agent =
            ConfigAgent.create(SELF, AgentTiming.standard().expectingPeers(false), new SplittableRandom(1));
    private Duration now = Duration.ZERO;

    @ParameterizedTest
    @EnumSource(Source.class)
    void olderGenerationIsNeitherLoadedNorAdopted(Source source) {
        InMemoryObjectStore store = InMemoryObjectStore.create();
        PublishedConfig older = SampleConfigs.publish(store, "a1", 1);
        PublishedConfig newer = SampleConfigs.publish(store, "a2", 2);
        adopt(newer);
        assertThat(loadsOrAdopts(event(source, older))).isFalse();
        assertThat(agent.current()).isEqualTo(newer);
    }

    @ParameterizedTest
    @EnumSource(Source.class)
    void differentConfigurationOfTheSameGenerationIsNotAdopted(Source source) {
        PublishedConfig own = SampleConfigs.publish(InMemoryObjectStore.create(), "a1", 1);
        PublishedConfig other = SampleConfigs.publish(InMemoryObjectStore.create(), "b1", 5);
        adopt(own);
        assertThat(loadsOrAdopts(event(source, other))).isFalse();
        assertThat(agent.current()).isEqualTo(own);
    }

    @Test
    void staleHeadMakesTheInstanceRestoreItsNewerConfiguration() {
        InMemoryObjectStore store = InMemoryObjectStore.create();
        PublishedConfig older = SampleConfigs.publish(store, "a1", 1);
        adopt(SampleConfigs.publish(store, "a2", 2));
        assertThat(handle(event(Source.STALE_READ, older))).contains(new AgentAction.Restore(agent.current()));
    }

    @Test
    void peerWithoutTheAnnouncedGenerationIsNotPolledAgainImmediately() {
        ConfigPeers.PeerGeneration ahead = new ConfigPeers.PeerGeneration(PEER, Generation.of(7));
        ConfigPeers.View view =
                new ConfigPeers.View(List.of(SELF, PEER), List.of(PEER), Optional.of(ahead), List.of(ahead));
        assertThat(asksPeer(handle(new AgentEvent.Tick(view)))).isTrue();
        assertThat(asksPeer(handle(new AgentEvent.PeerAnswered(PEER, Optional.empty()))))
                .isFalse();
        assertThat(asksPeer(handle(new AgentEvent.Tick(view)))).isFalse();
    }

    private void adopt(PublishedConfig config) {
        assertThat(loadsOrAdopts(new AgentEvent.Loaded(checked(config)))).isTrue();
    }

    private boolean loadsOrAdopts(AgentEvent event) {
        return handle(event).stream()
                .anyMatch(action -> action instanceof AgentAction.Adopt || action instanceof AgentAction.Load);
    }

    private List<AgentAction> handle(AgentEvent event) {
        now = now.plusMillis(1);
        return agent.handle(event, now);
    }

    private static boolean asksPeer(List<AgentAction> actions) {
        return actions.stream().anyMatch(AgentAction.AskPeer.class::isInstance);
    }

    private static AgentEvent event(Source source, PublishedConfig config) {
        Head head = new Head(3, config.manifest(), config.hash());
        return switch (source) {
            case DELAYED_LOAD -> new AgentEvent.Loaded(checked(config));
            case LAGGING_PEER -> new AgentEvent.PeerAnswered(PEER, Optional.of(checked(config)));
            case STALE_READ -> new AgentEvent.HeadRead(head);
            case DELAYED_WATCH -> new AgentEvent.WatchEnded(4, true, Optional.of(head));
        };
    }

    private static CheckedConfig checked(PublishedConfig config) {
        return CheckedConfig.check(config).value();
    }
}
