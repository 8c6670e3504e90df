package org.mangoridge.config.audit;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.mangoridge.config.audit.AuditStore.Pointer;
import org.mangoridge.core.Result;
import org.mangoridge.objects.ObjectStore;
import org.mangoridge.objects.StoreFailure;

/**
 * An audit trail as read from the store, with the results of its verification.
 *
 * @param entries the entries, oldest first
 * @param problems the breaks in the hash chain, empty if it is intact
 */
public record AuditTrail(List<ChainedEntry> entries, List<String> problems) {

    public AuditTrail {
        entries = List.copyOf(entries);
        problems = List.copyOf(problems);
    }

    /** Reads and verifies a trail other than {@link AuditStore#CHANGES}, which must contain the entry at its tip. */
    public static Result<AuditTrail, StoreFailure> read(ObjectStore store, String trail) {
        AuditStore audit = AuditStore.create(store);
        return audit.readPointer(AuditStore.tipKey(trail)).flatMap(tip -> read(audit, trail, tip));
    }

    /** Reads and verifies {@link AuditStore#CHANGES}, whose newest entry is given by the head of the configuration. */
    public static Result<AuditTrail, StoreFailure> readChanges(
            ObjectStore store, String applyId, long generation, String entryHash) {
        return read(AuditStore.create(store), AuditStore.CHANGES, new Pointer(applyId, generation, entryHash));
    }

    private static Result<AuditTrail, StoreFailure> read(AuditStore store, String trail, Pointer tip) {
        return store.readPointer(AuditStore.anchorKey(trail))
                .flatMap(anchor -> store.readEntries(trail).map(entries -> {
                    String newest = trail.equals(AuditStore.CHANGES) ? tip.id() : newestId(entries);
                    List<ChainedEntry> chain = chain(entries, newest);
                    return new AuditTrail(chain, problems(chain, tip, anchor));
                }));
    }

    /** Returns the entries on the chain that ends with the entry of id {@code newest}, oldest first. */
    static List<ChainedEntry> chain(List<ChainedEntry> entries, String newest) {
        Map<String, ChainedEntry> byId = new HashMap<>();
        entries.forEach(entry -> byId.put(entry.id(), entry));
        List<ChainedEntry> chain = new ArrayList<>();
        ChainedEntry entry = byId.remove(newest);
        while (entry != null) {
            chain.add(entry);
            entry = byId.remove(entry.previousId());
        }
        Collections.reverse(chain);
        return chain;
    }

    /** Checks that {@code chain} is unbroken, follows {@code anchor} and contains {@code tip}; returns the problems. */
    static List<String> problems(List<ChainedEntry> chain, Pointer tip, Pointer anchor) {
        List<String> problems = new ArrayList<>();
        Optional<Pointer> expectedPrevious =
                chain.isEmpty() || chain.get(0).number() <= anchor.number() ? Optional.empty() : Optional.of(anchor);
        for (ChainedEntry entry : chain) {
            expectedPrevious
                    .filter(previous -> !isSuccessor(entry, previous))
                    .ifPresent(previous -> problems.add("entry " + entry.number() + " (" + entry.id()
                            + ") does not follow entry " + previous.number() + " unchanged"));
            expectedPrevious = Optional.of(Pointer.of(entry));
        }
        boolean containsTip =
                tip.number() == 0 || chain.stream().map(Pointer::of).anyMatch(tip::equals);
        if (!containsTip) {
            problems.add("entry " + tip.number() + " (" + tip.id() + ") is missing or was changed");
        }
        return problems;
    }

    private static boolean isSuccessor(ChainedEntry entry, Pointer previous) {
        return entry.number() == previous.number() + 1
                && entry.previousId().equals(previous.id())
                && entry.previousHash().equals(previous.hash());
    }

    private static String newestId(List<ChainedEntry> entries) {
        return entries.stream()
                .max(Comparator.comparingLong(ChainedEntry::number))
                .map(ChainedEntry::id)
                .orElse("");
    }
}
