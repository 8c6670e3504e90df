package org.mangoridge.config.audit;

import java.util.List;

import org.mangoridge.config.content.Sha256;
import org.mangoridge.core.Result;
import org.mangoridge.http.Json;

/**
 * An audit entry with its links in the hash chain of a trail.
 *
 * @param id the id, unique in the trail; in the trail of accepted changes the apply id
 * @param number the position in the trail, from 1; in the trail of accepted changes the generation
 * @param previousId the id of the previous entry, empty for the first
 * @param previousHash the hash of the previous entry, empty for the first
 * @param headVersion the version of the configuration head that the apply replaces, 0 in other trails
 * @param entry the recorded event
 * @param changePieces the hashes of the lists of changed keys
 */
public record ChainedEntry(
        String id,
        long number,
        String previousId,
        String previousHash,
        long headVersion,
        AuditEntry entry,
        List<String> changePieces) {

    public ChainedEntry {
        changePieces = changePieces == null ? List.of() : List.copyOf(changePieces);
    }

    /** Decodes an entry; the error states why it is malformed. */
    public static Result<ChainedEntry, String> decode(byte[] json) {
        return Json.read(json, ChainedEntry.class)
                .flatMap(entry -> entry.entry() == null || entry.id() == null || entry.previousHash() == null
                        ? Result.err("not an audit entry")
                        : Result.ok(entry));
    }

    /** Returns the JSON of the entry as it is stored and hashed. */
    public byte[] encode() {
        return Json.bytes(this);
    }

    /** Returns the SHA-256 of the entry, which covers the hash of the previous entry. */
    public String hash() {
        return Sha256.of(encode());
    }
}
