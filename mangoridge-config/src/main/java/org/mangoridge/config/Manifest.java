package org.mangoridge.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.mangoridge.config.content.Piece;
import org.mangoridge.config.content.Sha256;
import org.mangoridge.core.Checks;
import org.mangoridge.http.Json;

/**
 * Describes one accepted configuration; its hash covers the whole of it.
 *
 * @param generation its number, 0 before anything was accepted
 * @param applyId the apply that published it, empty for generation 0
 * @param operator who applied it
 * @param at when, as ISO 8601 in UTC
 * @param entryHash the hash of its audit entry, empty for generation 0
 * @param recent the latest accepted applies, the newest first, itself included
 * @param pieces the pieces of its text in order
 */
public record Manifest(
        long generation,
        String applyId,
        String operator,
        String at,
        String entryHash,
        List<String> recent,
        List<Piece> pieces) {

    /** How many accepted applies a manifest names. */
    public static final int MAX_RECENT = 256;

    public Manifest {
        Checks.argument(generation >= 0, "generation must not be negative: %d", generation);
        Checks.notNull(applyId, "apply id");
        Checks.notNull(entryHash, "entry hash");
        recent = List.copyOf(recent);
        pieces = List.copyOf(pieces);
    }

    /** Returns the manifest before anything was accepted. */
    public static Manifest initial() {
        return new Manifest(0, "", "", "", "", List.of(), List.of());
    }

    /** Returns the manifest of the configuration that {@code id} publishes after this one. */
    public Manifest next(ApplyId id, String operator, String at, String entryHash, List<Piece> pieces) {
        List<String> ids = new ArrayList<>();
        ids.add(id.value());
        ids.addAll(this.recent.subList(0, Math.min(this.recent.size(), MAX_RECENT - 1)));
        return new Manifest(generation + 1, id.value(), operator, at, entryHash, ids, pieces);
    }

    /** Returns the generation that {@code id} published, if it is among the latest. */
    public Optional<Long> generationOf(ApplyId id) {
        int index = recent.indexOf(id.value());
        return index < 0 ? Optional.empty() : Optional.of(generation - index);
    }

    /** Tells whether an apply that published {@code generation} would be among the latest. */
    public boolean covers(long generation) {
        return generation > this.generation - recent.size();
    }

    /** Returns the hash of the manifest, and through its pieces of the text. */
    public String hash() {
        return Sha256.of(Json.bytes(this));
    }
}
