package org.mangoridge.peer.rpc;

import java.util.Optional;

import org.mangoridge.core.id.Generation;

/**
 * What a peer answers when asked for its configuration.
 *
 * @param generation the generation that it has in force
 * @param content the configuration, if it is newer than the asker's
 */
public record PeerConfig(Generation generation, Optional<Content> content) {

    /**
     * A published configuration.
     *
     * @param hash the hash of its text
     * @param text the merged text
     */
    public record Content(String hash, String text) {}

    /** Returns the answer of a peer that has nothing newer. */
    public static PeerConfig nothingNewer(Generation generation) {
        return new PeerConfig(generation, Optional.empty());
    }
}
