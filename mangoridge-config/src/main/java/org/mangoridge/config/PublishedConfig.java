package org.mangoridge.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.mangoridge.config.content.Piece;
import org.mangoridge.config.content.Sha256;
import org.mangoridge.core.Result;
import org.mangoridge.core.id.Generation;

/**
 * An accepted configuration with verified hashes.
 *
 * @param manifest the manifest of the configuration
 * @param hash the hash of the manifest
 * @param contents the contents of the pieces by hash
 */
public record PublishedConfig(Manifest manifest, String hash, Map<String, String> contents) {

    public PublishedConfig {
        contents = Map.copyOf(contents);
    }

    /** Returns the empty configuration of generation 0. */
    public static PublishedConfig initial() {
        return new PublishedConfig(Manifest.initial(), Manifest.initial().hash(), Map.of());
    }

    /**
     * Assembles a configuration from its pieces and verifies all hashes.
     *
     * @param contents the contents by hash; those that the manifest does not refer to are ignored
     */
    public static Result<PublishedConfig, String> verify(Manifest manifest, String hash, Map<String, String> contents) {
        if (!manifest.hash().equals(hash)) {
            return Result.err("the hash of generation " + manifest.generation() + " does not verify");
        }
        Map<String, String> verified = new HashMap<>();
        for (Piece piece : manifest.pieces()) {
            String content = contents.get(piece.hash());
            if (content == null) {
                return Result.err("a piece of generation " + manifest.generation() + " is missing");
            }
            if (!Sha256.of(content).equals(piece.hash())) {
                return Result.err("a piece of generation " + manifest.generation() + " does not verify");
            }
            verified.put(piece.hash(), content);
        }
        return Result.ok(new PublishedConfig(manifest, hash, verified));
    }

    /** Returns the generation of the configuration. */
    public Generation generation() {
        return Generation.of(manifest.generation());
    }

    /** Returns the whole configuration as one INI text. */
    public String text() {
        StringBuilder text = new StringBuilder();
        manifest.pieces().forEach(piece -> text.append(contents.get(piece.hash())));
        return text.toString();
    }

    /** Returns the contents by hash of the pieces that {@code other} does not contain. */
    public Map<String, String> contentsMissingFrom(Manifest other) {
        Set<String> otherHashes = new HashSet<>();
        other.pieces().forEach(piece -> otherHashes.add(piece.hash()));
        Map<String, String> missing = new HashMap<>(contents);
        missing.keySet().removeAll(otherHashes);
        return missing;
    }

    /** Returns the pieces of {@code other} that this configuration does not contain. */
    public List<Piece> piecesRemovedSince(Manifest other) {
        List<Piece> removed = new ArrayList<>(other.pieces());
        removed.removeAll(manifest.pieces());
        return removed;
    }
}
