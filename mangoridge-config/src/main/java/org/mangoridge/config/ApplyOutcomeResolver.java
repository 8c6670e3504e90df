package org.mangoridge.config;

import java.util.List;
import java.util.Optional;

import org.mangoridge.config.ConfigRepository.Head;
import org.mangoridge.config.audit.AuditEntry;
import org.mangoridge.config.audit.AuditKind;
import org.mangoridge.config.audit.ChainedEntry;
import org.mangoridge.config.audit.ChangeTrail;
import org.mangoridge.core.Result;
import org.mangoridge.core.time.Clock;
import org.mangoridge.objects.Precondition;
import org.mangoridge.objects.StoreFailure;
import org.mangoridge.objects.StoredObject;
import org.mangoridge.objects.WriteOutcome;

/**
 * Determines the outcome of an apply whose response was lost.
 *
 * <p>A write of the head may still be in flight. Before an apply is reported as refused, the head is rewritten
 * unchanged, so that its version is past the one that the pending write expects and the write fails.
 */
final class ApplyOutcomeResolver {

    private static final int MAX_ATTEMPTS = 5;

    private final ConfigRepository repository;
    private final ChangeTrail trail;
    private final Clock clock;

    ApplyOutcomeResolver(ConfigRepository repository, ChangeTrail trail, Clock clock) {
        this.repository = repository;
        this.trail = trail;
        this.clock = clock;
    }

    /** Returns accepted or refused if that is certain, unknown otherwise. */
    ApplyOutcome resolve(ApplyId id) {
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            Optional<ApplyOutcome> outcome = tryResolve(id);
            if (outcome.isPresent()) {
                return outcome.get();
            }
        }
        return new ApplyOutcome.Unknown(id.value(), "the platform did not confirm the outcome");
    }

    private Optional<ApplyOutcome> tryResolve(ApplyId id) {
        Result<Head, StoreFailure> head = repository.readHead();
        if (!head.isOk()) {
            return Optional.empty();
        }
        Optional<Long> accepted = head.value().manifest().generationOf(id);
        if (accepted.isPresent()) {
            return Optional.of(new ApplyOutcome.Accepted(id.value(), accepted.get(), List.of()));
        }
        Result<Optional<StoredObject>, StoreFailure> entry = trail.read(id.value());
        if (!entry.isOk()) {
            return Optional.empty();
        }
        if (entry.value().isEmpty()) {
            return blockAndRefuse(id);
        }
        Result<ChainedEntry, String> prepared =
                ChainedEntry.decode(entry.value().get().value());
        if (!prepared.isOk()) {
            return Optional.of(new ApplyOutcome.Unknown(id.value(), "the audit entry of the apply can't be read"));
        }
        return resolvePrepared(id, head.value(), prepared.value());
    }

    private Optional<ApplyOutcome> resolvePrepared(ApplyId id, Head head, ChainedEntry prepared) {
        // Only the placeholder entry of blockAndRefuse has number 0.
        if (prepared.number() == 0) {
            return notPublished(id);
        }
        long generation = head.manifest().generation();
        if (prepared.number() <= generation && !head.manifest().covers(prepared.number())) {
            return Optional.of(
                    new ApplyOutcome.Unknown(id.value(), "the apply is too old to be resolved; see mangoridge audit"));
        }
        if (head.version() > prepared.headVersion()) {
            return notPublished(id);
        }
        if (!(repository.writeHead(head.manifest(), head.version()) instanceof WriteOutcome.Written written)) {
            return Optional.empty();
        }
        return written.version() > prepared.headVersion()
                ? notPublished(id)
                : Optional.of(new ApplyOutcome.Unknown(id.value(), "the platform was restored to an older state"));
    }

    /**
     * Creates a placeholder audit entry for {@code id} and returns a refusal.
     *
     * <p>An apply creates its audit entry before it writes the head. An apply in flight with this id therefore fails to
     * create its entry and publishes nothing.
     */
    private Optional<ApplyOutcome> blockAndRefuse(ApplyId id) {
        AuditEntry entry =
                AuditEntry.of(AuditKind.APPLY_REFUSED, "", clock.now(), "", id.value(), "asked for, not published");
        ChainedEntry placeholder = new ChainedEntry(id.value(), 0, "", "", 0, entry, List.of());
        return trail.prepare(placeholder, Precondition.absent()) ? notPublished(id) : Optional.empty();
    }

    private static Optional<ApplyOutcome> notPublished(ApplyId id) {
        return Optional.of(ApplyOutcome.Refused.of(id, "not published; apply again"));
    }
}
