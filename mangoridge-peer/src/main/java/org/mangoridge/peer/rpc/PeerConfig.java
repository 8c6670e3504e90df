package org.mangoridge.peer.rpc;

import java.util.Optional;

import org.mangoridge.core.id.Generation;

/**
 * The answer of a peer to a request for its configuration.
 *
 * @param generation the generation that the peer has in force
 * @param content the configuration, if it is newer than that of the requesting instance
 */
public record PeerConfig(Generation generation, Optional<Content> content) {

    /**
     * A published configuration.
     *
     * @param hash the hash of {@code text}
     * @param text the merged text of the configuration
     */
    public record Content(String hash, String text) {}

    /** Returns the answer of a peer whose configuration is not newer. */
    public static PeerConfig nothingNewer(Generation generation) {
        return new PeerConfig(generation, Optional.empty());
    }
}
