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
 * Finds out what became of an apply whose answer was lost.
 *
 * <p>A write that may still arrive is made to fail first: the head is written again unchanged, which moves its version
 * past the one that the write expects. Only then is the apply said to be refused.
 */
final class ApplyOutcomeResolver {

    private static final int TRIES = 5;

    private final ConfigRepository repository;
    private final ChangeTrail trail;
    private final Clock clock;

    ApplyOutcomeResolver(ConfigRepository repository, ChangeTrail trail, Clock clock) {
        this.repository = repository;
        this.trail = trail;
        this.clock = clock;
    }

    /** Returns accepted, refused or unknown; never one of the first two unless it is certain. */
    ApplyOutcome settle(ApplyId id) {
        for (int i = 0; i < TRIES; i++) {
            Optional<ApplyOutcome> outcome = trySettle(id);
            if (outcome.isPresent()) {
                return outcome.get();
            }
        }
        return new ApplyOutcome.Unknown(id.value(), "the platform does not settle it now; ask again");
    }

    private Optional<ApplyOutcome> trySettle(ApplyId id) {
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
            return refuseForever(id);
        }
        Result<ChainedEntry, String> prepared =
                ChainedEntry.decode(entry.value().get().value());
        if (!prepared.isOk()) {
            return Optional.of(new ApplyOutcome.Unknown(id.value(), "its audit entry can't be read"));
        }
        return settlePrepared(id, head.value(), prepared.value());
    }

    private Optional<ApplyOutcome> settlePrepared(ApplyId id, Head head, ChainedEntry prepared) {
        if (prepared.number() == 0) {
            return notPublished(id);
        }
        long generation = head.manifest().generation();
        if (prepared.number() <= generation && !head.manifest().covers(prepared.number())) {
            return Optional.of(new ApplyOutcome.Unknown(id.value(), "too long ago; see mangoridge audit"));
        }
        if (head.version() > prepared.headVersion()) {
            return notPublished(id);
        }
        if (!(repository.writeHead(head.manifest(), head.version()) instanceof WriteOutcome.Written written)) {
            return Optional.empty();
        }
        return written.version() > prepared.headVersion()
                ? notPublished(id)
                : Optional.of(new ApplyOutcome.Unknown(id.value(), "the platform went back to an older state"));
    }

    /** Takes the place of the audit entry without which nothing is published under the id. */
    private Optional<ApplyOutcome> refuseForever(ApplyId id) {
        AuditEntry entry =
                AuditEntry.of(AuditKind.APPLY_REFUSED, "", clock.now(), "", id.value(), "asked for, not published");
        ChainedEntry mark = new ChainedEntry(id.value(), 0, "", "", 0, entry, List.of());
        return trail.prepare(mark, Precondition.absent()) ? notPublished(id) : Optional.empty();
    }

    private static Optional<ApplyOutcome> notPublished(ApplyId id) {
        return Optional.of(ApplyOutcome.Refused.of(id, "not published; apply again"));
    }
}
