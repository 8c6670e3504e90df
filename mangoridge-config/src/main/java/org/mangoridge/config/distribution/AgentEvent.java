package org.mangoridge.config.distribution;

import java.util.Optional;

import org.mangoridge.config.ConfigRepository.Head;
import org.mangoridge.core.id.Generation;
import org.mangoridge.core.id.InstanceId;

/** An event that a {@link ConfigAgent} handles: a timer tick or the result of a call. */
public sealed interface AgentEvent {

    /**
     * The periodic timer fired.
     *
     * @param view the current view of the other instances
     */
    record Tick(ConfigPeers.View view) implements AgentEvent {}

    /**
     * The platform answered a read of the head.
     *
     * @param head the head, which may be stale
     */
    record HeadRead(Head head) implements AgentEvent {}

    /**
     * A watch ended.
     *
     * @param revision the revision after which the next watch starts
     * @param isComplete whether no change was missed
     * @param head the newest head that the watch returned, if any
     */
    record WatchEnded(long revision, boolean isComplete, Optional<Head> head) implements AgentEvent {}

    /**
     * A configuration was loaded from the platform and validated.
     *
     * @param config the configuration
     */
    record Loaded(CheckedConfig config) implements AgentEvent {}

    /**
     * A call to the platform failed.
     *
     * @param detail the cause
     */
    record PlatformFailed(String detail) implements AgentEvent {}

    /**
     * A configuration was received whose hashes or text are not valid.
     *
     * @param generation the generation that it claims to have
     * @param hash the hash that it claims to have
     * @param detail what is wrong
     * @param isFromPeer whether a peer sent it
     */
    record Malformed(Generation generation, String hash, String detail, boolean isFromPeer) implements AgentEvent {}

    /**
     * The attempt to write the newest configuration back to the platform has ended.
     *
     * @param isSuccessful whether the platform now holds that configuration or a newer one
     */
    record RestoreEnded(boolean isSuccessful) implements AgentEvent {}

    /**
     * A peer answered.
     *
     * @param peer the peer
     * @param config the validated configuration of the peer, if it is newer
     */
    record PeerAnswered(InstanceId peer, Optional<CheckedConfig> config) implements AgentEvent {}

    /**
     * A peer did not answer.
     *
     * @param peer the peer
     */
    record PeerFailed(InstanceId peer) implements AgentEvent {}
}
