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
 * An accepted configuration whose hashes verify.
 *
 * @param manifest what it consists of
 * @param hash the hash of the manifest
 * @param contents the pieces' contents by their hashes
 */
public record PublishedConfig(Manifest manifest, String hash, Map<String, String> contents) {

    public PublishedConfig {
        contents = Map.copyOf(contents);
    }

    /** Returns the configuration before anything was accepted. */
    public static PublishedConfig initial() {
        return new PublishedConfig(Manifest.initial(), Manifest.initial().hash(), Map.of());
    }

    /**
     * Puts a configuration together and verifies it.
     *
     * @param contents contents by hash; more than the manifest names are passed over
     */
    public static Result<PublishedConfig, String> verify(Manifest manifest, String hash, Map<String, String> contents) {
        if (!manifest.hash().equals(hash)) {
            return Result.err("the hash of generation " + manifest.generation() + " does not verify");
        }
        Map<String, String> used = new HashMap<>();
        for (Piece piece : manifest.pieces()) {
            String content = contents.get(piece.hash());
            if (content == null) {
                return Result.err("a piece of generation " + manifest.generation() + " is missing");
            }
            if (!Sha256.of(content).equals(piece.hash())) {
                return Result.err("a piece of generation " + manifest.generation() + " does not verify");
            }
            used.put(piece.hash(), content);
        }
        return Result.ok(new PublishedConfig(manifest, hash, used));
    }

    /** Returns its number. */
    public Generation generation() {
        return Generation.of(manifest.generation());
    }

    /** Returns the merged configuration as one INI text. */
    public String text() {
        StringBuilder text = new StringBuilder();
        manifest.pieces().forEach(piece -> text.append(contents.get(piece.hash())));
        return text.toString();
    }

    /** Returns the contents of the pieces that {@code other} does not have. */
    public Map<String, String> contentsMissingFrom(Manifest other) {
        Set<String> had = new HashSet<>();
        other.pieces().forEach(piece -> had.add(piece.hash()));
        Map<String, String> beyond = new HashMap<>(contents);
        beyond.keySet().removeAll(had);
        return beyond;
    }

    /** Returns the pieces of {@code other} that this configuration no longer names. */
    public List<Piece> piecesRemovedSince(Manifest other) {
        List<Piece> dropped = new ArrayList<>(other.pieces());
        dropped.removeAll(manifest.pieces());
        return dropped;
    }
}
