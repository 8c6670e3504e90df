package org.mangoridge.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.mangoridge.config.content.Piece;
import org.mangoridge.config.content.Sha256;
import org.mangoridge.core.Checks;
import org.mangoridge.http.Json;

/**
 * Describes one accepted configuration. The hash of the manifest covers the whole configuration, as it includes the
 * hashes of the pieces.
 *
 * @param generation the generation number, 0 before the first accepted apply
 * @param applyId the apply that published it, empty for generation 0
 * @param operator the operator who applied it, empty for generation 0
 * @param at the time of the apply in ISO 8601, UTC; empty for generation 0
 * @param entryHash the hash of its audit entry, empty for generation 0
 * @param recent the ids of the latest accepted applies, newest first, including {@code applyId}
 * @param pieces the pieces of the configuration text, in order
 */
public record Manifest(
        long generation,
        String applyId,
        String operator,
        String at,
        String entryHash,
        List<String> recent,
        List<Piece> pieces) {

    /** The maximum number of ids in {@code recent}. */
    public static final int MAX_RECENT = 256;

    public Manifest {
        Checks.argument(generation >= 0, "generation must not be negative: %d", generation);
        Checks.notNull(applyId, "apply id");
        Checks.notNull(entryHash, "entry hash");
        recent = List.copyOf(recent);
        pieces = List.copyOf(pieces);
    }

    /** Returns the manifest of generation 0, the state before the first accepted apply. */
    public static Manifest initial() {
        return new Manifest(0, "", "", "", "", List.of(), List.of());
    }

    /** Returns the manifest of the next generation, published by {@code id}. */
    public Manifest next(ApplyId id, String operator, String at, String entryHash, List<Piece> pieces) {
        List<String> ids = new ArrayList<>();
        ids.add(id.value());
        ids.addAll(this.recent.subList(0, Math.min(this.recent.size(), MAX_RECENT - 1)));
        return new Manifest(generation + 1, id.value(), operator, at, entryHash, ids, pieces);
    }

    /** Returns the generation that {@code id} published; empty if it is not in {@code recent}. */
    public Optional<Long> generationOf(ApplyId id) {
        int index = recent.indexOf(id.value());
        return index < 0 ? Optional.empty() : Optional.of(generation - index);
    }

    /** Returns whether {@code recent} reaches back to {@code generation}. */
    public boolean covers(long generation) {
        return generation > this.generation - recent.size();
    }

    /** Returns the SHA-256 of the manifest's JSON, which includes the hashes of the pieces. */
    public String hash() {
        return Sha256.of(Json.bytes(this));
    }
}
