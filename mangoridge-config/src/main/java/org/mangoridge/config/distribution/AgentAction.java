package org.mangoridge.config.distribution;

import org.mangoridge.config.ConfigRepository.Head;
import org.mangoridge.config.PublishedConfig;
import org.mangoridge.core.id.Generation;
import org.mangoridge.core.id.InstanceId;

/** What a {@link ConfigAgent} wants done; each call to the platform or a peer must end in one event. */
public sealed interface AgentAction {

    /** Read the head from the platform. */
    record ReadHead() implements AgentAction {}

    /**
     * Wait for changes of the head.
     *
     * @param revision the revision to start after
     */
    record Watch(long revision) implements AgentAction {}

    /**
     * Load the configuration that a head names.
     *
     * @param head the head
     * @param known what need not be loaded again
     */
    record Load(Head head, PublishedConfig known) implements AgentAction {}

    /**
     * Put the configuration back into the platform, which went back to an older one.
     *
     * @param config the configuration
     */
    record Restore(PublishedConfig config) implements AgentAction {}

    /**
     * Ask a peer for its configuration.
     *
     * @param peer the peer
     * @param known what need not be sent again
     */
    record AskPeer(InstanceId peer, PublishedConfig known) implements AgentAction {}

    /**
     * Bring a configuration into force for every request that starts from now on.
     *
     * @param config the configuration
     * @param source where it came from
     */
    record Adopt(CheckedConfig config, String source) implements AgentAction {}

    /**
     * Log that a configuration was rejected and the last good one stays in force.
     *
     * @param generation its number as stated
     * @param detail what is wrong with it
     */
    record Reject(Generation generation, String detail) implements AgentAction {}
}
