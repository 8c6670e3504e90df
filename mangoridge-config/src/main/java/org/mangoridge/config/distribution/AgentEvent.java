package org.mangoridge.config.distribution;

import java.util.Optional;

import org.mangoridge.config.ConfigRepository.Head;
import org.mangoridge.core.id.Generation;
import org.mangoridge.core.id.InstanceId;

/** What a {@link ConfigAgent} is told. */
public sealed interface AgentEvent {

    /**
     * Time has passed.
     *
     * @param view what is known of the other instances
     */
    record Tick(ConfigPeers.View view) implements AgentEvent {}

    /**
     * The platform answered a read of the head.
     *
     * @param head the head, possibly an old one
     */
    record HeadRead(Head head) implements AgentEvent {}

    /**
     * A watch ended.
     *
     * @param revision the revision that the next watch starts after
     * @param isComplete whether no change was missed
     * @param head the newest head that it saw, if any
     */
    record WatchEnded(long revision, boolean isComplete, Optional<Head> head) implements AgentEvent {}

    /**
     * A configuration was loaded from the platform and checked.
     *
     * @param config the configuration
     */
    record Loaded(CheckedConfig config) implements AgentEvent {}

    /**
     * A call to the platform failed.
     *
     * @param detail why
     */
    record PlatformFailed(String detail) implements AgentEvent {}

    /**
     * A configuration does not verify or is malformed.
     *
     * @param generation its number as stated
     * @param hash its hash as stated
     * @param detail what is wrong
     * @param isFromPeer whether a peer sent it
     */
    record Malformed(Generation generation, String hash, String detail, boolean isFromPeer) implements AgentEvent {}

    /**
     * The attempt to put the newest configuration back into the platform has ended.
     *
     * @param isSuccessful whether the platform holds it or a newer one
     */
    record RestoreEnded(boolean isSuccessful) implements AgentEvent {}

    /**
     * A peer answered.
     *
     * @param peer the peer
     * @param config its configuration, checked, if it is newer
     */
    record PeerAnswered(InstanceId peer, Optional<CheckedConfig> config) implements AgentEvent {}

    /**
     * A peer did not answer.
     *
     * @param peer the peer
     */
    record PeerFailed(InstanceId peer) implements AgentEvent {}
}
