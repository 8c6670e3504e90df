package org.mangoridge.config.distribution;

import org.mangoridge.config.ConfigRepository.Head;
import org.mangoridge.config.PublishedConfig;
import org.mangoridge.core.id.Generation;
import org.mangoridge.core.id.InstanceId;

/**
 * An action that a {@link ConfigAgent} requests.
 *
 * <p>The caller must report the result of every call to the platform or to a peer with exactly one {@link AgentEvent}.
 */
public sealed interface AgentAction {

    /** Read the head from the platform. */
    record ReadHead() implements AgentAction {}

    /**
     * Watch the head for changes.
     *
     * @param revision the revision to start after
     */
    record Watch(long revision) implements AgentAction {}

    /**
     * Load the configuration that a head refers to.
     *
     * @param head the head
     * @param known the current configuration, whose pieces need not be loaded again
     */
    record Load(Head head, PublishedConfig known) implements AgentAction {}

    /**
     * Write the configuration back to the platform, which holds an older one.
     *
     * @param config the configuration
     */
    record Restore(PublishedConfig config) implements AgentAction {}

    /**
     * Request the configuration of a peer.
     *
     * @param peer the peer
     * @param known the current configuration, whose pieces need not be sent again
     */
    record AskPeer(InstanceId peer, PublishedConfig known) implements AgentAction {}

    /**
     * Apply a configuration to every request that starts from now on.
     *
     * @param config the configuration
     * @param source "platform" or the id of the peer that sent it
     */
    record Adopt(CheckedConfig config, String source) implements AgentAction {}

    /**
     * Log that a configuration was rejected; the last valid one stays in force.
     *
     * @param generation the generation that it claims to have
     * @param detail what is wrong with it
     */
    record Reject(Generation generation, String detail) implements AgentAction {}
}
