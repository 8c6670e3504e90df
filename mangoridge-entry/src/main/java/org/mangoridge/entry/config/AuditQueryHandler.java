package org.mangoridge.entry.config;

import java.util.ArrayList;
import java.util.List;

import org.mangoridge.config.ConfigRepository;
import org.mangoridge.config.Manifest;
import org.mangoridge.config.audit.AuditStore;
import org.mangoridge.config.audit.AuditTrail;
import org.mangoridge.config.audit.ChainedEntry;
import org.mangoridge.config.audit.ChangeTrail;
import org.mangoridge.config.audit.KeyChange;
import org.mangoridge.core.Result;
import org.mangoridge.objects.ObjectStore;
import org.mangoridge.objects.StoreFailure;
import org.mangoridge.web.ErrorBody;
import org.mangoridge.web.WebReply;
import org.mangoridge.web.WebRequest;

/** Answers operators' queries of the audit trails: reads, verifies and filters the entries. */
public final class AuditQueryHandler {

    private static final int DEFAULT_LIMIT = 50;
    private static final int MAX_LIMIT = 1000;

    private final ObjectStore store;
    private final ConfigRepository repository;
    private final ChangeTrail changes;

    private AuditQueryHandler(ObjectStore store) {
        this.store = store;
        this.repository = ConfigRepository.create(store);
        this.changes = ChangeTrail.create(store);
    }

    /** Returns a handler of queries for the trails in {@code store}. */
    public static AuditQueryHandler create(ObjectStore store) {
        return new AuditQueryHandler(store);
    }

    /** Answers {@code GET /audit}; {@code inForce} is the manifest that this instance has adopted. */
    WebReply handle(WebRequest request, Manifest inForce) {
        String trail = request.queryValue("trail").orElse(AuditStore.CHANGES);
        if (!trail.matches("[A-Za-z0-9._~-]+")) {
            return WebReply.json(
                    400,
                    ErrorBody.of(
                            "malformed", "the trail name may contain only letters, digits and the characters . _ ~ -"));
        }
        Result<AuditTrail, StoreFailure> read =
                trail.equals(AuditStore.CHANGES) ? readChanges(inForce) : AuditTrail.read(store, trail);
        if (!read.isOk()) {
            return WebReply.json(503, ErrorBody.of("platform", read.error().detail()));
        }
        AuditTrail auditTrail = read.value();
        return WebReply.json(
                200,
                new ConfigMessages.AuditList(
                        trail,
                        auditTrail.entries().size(),
                        auditTrail.problems(),
                        matching(request, auditTrail.entries())));
    }

    /**
     * Reads the trail of changes, starting at the newer of the store's head and the configuration in force.
     *
     * <p>If the store has lost its newest entries, verification from the configuration in force reports them missing.
     */
    private Result<AuditTrail, StoreFailure> readChanges(Manifest inForce) {
        return repository.readHead().flatMap(head -> {
            Manifest newest = head.manifest().generation() >= inForce.generation() ? head.manifest() : inForce;
            return AuditTrail.readChanges(store, newest.applyId(), newest.generation(), newest.entryHash());
        });
    }

    private List<ConfigMessages.Audited> matching(WebRequest request, List<ChainedEntry> entries) {
        String who = request.queryValue("who").orElse("");
        String kind = request.queryValue("kind").orElse("");
        String subject = request.queryValue("subject").orElse("");
        boolean withChanges = request.queryValue("changes").isPresent();
        int limit = limit(request.queryValue("limit").orElse(""));
        List<ConfigMessages.Audited> matching = new ArrayList<>();
        for (int i = entries.size() - 1; i >= 0 && matching.size() < limit; i--) {
            ChainedEntry entry = entries.get(i);
            boolean matches = (who.isEmpty() || entry.entry().who().equals(who))
                    && (kind.isEmpty() || entry.entry().kind().name().equalsIgnoreCase(kind.replace('-', '_')))
                    && (subject.isEmpty() || entry.entry().subject().equals(subject));
            if (matches) {
                matching.add(
                        new ConfigMessages.Audited(entry.hash(), entry, withChanges ? changesOf(entry) : List.of()));
            }
        }
        return matching;
    }

    private List<KeyChange> changesOf(ChainedEntry entry) {
        Result<List<KeyChange>, StoreFailure> read = changes.readKeyChanges(entry);
        return read.isOk() ? read.value() : List.of();
    }

    private static int limit(String text) {
        return text.matches("[0-9]{1,4}") ? Math.min(MAX_LIMIT, Integer.parseInt(text)) : DEFAULT_LIMIT;
    }
}
