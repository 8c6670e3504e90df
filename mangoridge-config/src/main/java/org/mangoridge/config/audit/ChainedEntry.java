package org.mangoridge.config.audit;

import java.util.List;

import org.mangoridge.config.content.Sha256;
import org.mangoridge.core.Result;
import org.mangoridge.http.Json;

/**
 * An audit entry in its trail.
 *
 * @param id its name, unlike any other of the trail; in the trail of accepted changes the apply id
 * @param number its place in the trail, from 1; in the trail of accepted changes the generation
 * @param previousId the name of the entry before it, empty for the first
 * @param previousHash the hash of the entry before it, empty for the first
 * @param headVersion the version of the configuration's head that an apply replaces, 0 in other trails
 * @param entry what happened
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

    /** Reads an entry; the error says what is wrong with it. */
    public static Result<ChainedEntry, String> decode(byte[] json) {
        return Json.read(json, ChainedEntry.class)
                .flatMap(entry -> entry.entry() == null || entry.id() == null || entry.previousHash() == null
                        ? Result.err("not an audit entry")
                        : Result.ok(entry));
    }

    /** Returns the entry as it is stored. */
    public byte[] encode() {
        return Json.bytes(this);
    }

    /** Returns its hash, which covers the hash of the entry before it. */
    public String hash() {
        return Sha256.of(encode());
    }
}
