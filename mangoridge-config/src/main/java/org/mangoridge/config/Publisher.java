package org.mangoridge.config;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.mangoridge.config.ConfigRepository.Head;
import org.mangoridge.config.audit.AuditEntry;
import org.mangoridge.config.audit.AuditKind;
import org.mangoridge.config.audit.AuditLog;
import org.mangoridge.config.audit.ChainedEntry;
import org.mangoridge.config.audit.ChangeTrail;
import org.mangoridge.config.audit.KeyChange;
import org.mangoridge.config.content.Piece;
import org.mangoridge.config.content.Sha256;
import org.mangoridge.config.content.TextPieces;
import org.mangoridge.core.Result;
import org.mangoridge.core.time.Clock;
import org.mangoridge.objects.ObjectStore;
import org.mangoridge.objects.Precondition;
import org.mangoridge.objects.StoreFailure;
import org.mangoridge.objects.StoredObject;
import org.mangoridge.objects.WriteOutcome;
import org.mangoridge.settings.deployment.Deployment;
import org.mangoridge.settings.deployment.DeploymentParser;
import org.mangoridge.settings.deployment.MergedSections;
import org.mangoridge.settings.ini.IniFile;
import org.mangoridge.settings.ini.IniSection;
import org.mangoridge.settings.ini.Problem;

/**
 * Publishes configurations: pieces and the audit entry first, then the head under a condition, in one atomic step.
 *
 * <p>Calls block. Safe for use by several threads.
 */
public final class Publisher {

    private static final int ROUNDS = 3;
    private static final int HEAD_TRIES = 3;
    private static final int MAX_FOREIGN_CHANGES = 20;

    /**
     * What an apply would change.
     *
     * @param generation the generation in force
     * @param changes the keys that differ
     */
    public record Difference(long generation, List<KeyChange> changes) {}

    private final ConfigRepository repository;
    private final ChangeTrail trail;
    private final ApplyOutcomeResolver settler;
    private final AuditLog refusals;
    private final Clock clock;

    private Publisher(ObjectStore store, AuditLog refusals, Clock clock) {
        this.repository = ConfigRepository.create(store);
        this.trail = ChangeTrail.create(store);
        this.settler = new ApplyOutcomeResolver(repository, trail, clock);
        this.refusals = refusals;
        this.clock = clock;
    }

    /** Returns a publisher that notes refused applies in {@code refusals}. */
    public static Publisher create(ObjectStore store, AuditLog refusals, Clock clock) {
        return new Publisher(store, refusals, clock);
    }

    /** Returns what publishing {@code sections} would change; pieces that {@code known} has are not read again. */
    public Result<Difference, StoreFailure> diff(List<IniSection> sections, PublishedConfig known) {
        return repository.readHead().flatMap(head -> repository
                .load(head, known)
                .flatMap(config -> sectionsOf(config))
                .map(old -> new Difference(head.manifest().generation(), ConfigDiff.between(old, sections))));
    }

    /**
     * Publishes a configuration.
     *
     * @param known the newest configuration that the caller has seen in force; it is written back first if the store
     *     went back to an older one
     */
    public ApplyOutcome apply(ApplyRequest request, PublishedConfig known) {
        ApplyOutcome outcome = publish(request, known);
        String refusal =
                switch (outcome) {
                    case ApplyOutcome.Refused refused -> String.join("; ", refused.problems());
                    case ApplyOutcome.Overtaken overtaken -> "overtaken by generation " + overtaken.generation();
                    default -> "";
                };
        if (!refusal.isEmpty()) {
            refusals.append(AuditEntry.of(
                    AuditKind.APPLY_REFUSED,
                    request.operator(),
                    clock.now(),
                    request.from(),
                    request.id().value(),
                    refusal));
        }
        return outcome;
    }

    /** Finds out what became of an apply; never answers accepted or refused unless it is certain. */
    public ApplyOutcome outcomeOf(ApplyId id) {
        return settler.settle(id);
    }

    /** Publishes one INI text as {@code operator} on top of what is in force. */
    public ApplyOutcome applyText(ApplyId id, String operator, String text) {
        return switch (IniFile.parse(operator, text)) {
            case Result.Ok<List<IniSection>, Problem> ok ->
                apply(new ApplyRequest(id, operator, "text", Optional.empty(), ok.value()), PublishedConfig.initial());
            case Result.Err<List<IniSection>, Problem> err ->
                ApplyOutcome.Refused.of(id, err.error().toString());
        };
    }

    private ApplyOutcome publish(ApplyRequest request, PublishedConfig known) {
        ApplyId id = request.id();
        Result<Deployment, List<Problem>> parsed = DeploymentParser.parse(request.sections());
        if (!parsed.isOk()) {
            return new ApplyOutcome.Refused(
                    id.value(), parsed.error().stream().map(Problem::toString).toList());
        }
        Result<Optional<StoredObject>, StoreFailure> earlier = trail.read(id.value());
        if (!earlier.isOk()) {
            return ApplyOutcome.Refused.of(
                    id, "nothing was published: " + earlier.error().detail());
        }
        if (earlier.value().isPresent()) {
            ApplyOutcome settled = settler.settle(id);
            if (!(settled instanceof ApplyOutcome.Refused)) {
                return settled;
            }
        }
        if (!repository.restore(known)) {
            return ApplyOutcome.Refused.of(
                    id, "the platform does not hold generation " + known.generation() + " yet; apply again");
        }
        return publishRounds(request, known, versionCondition(earlier.value()));
    }

    private ApplyOutcome publishRounds(ApplyRequest request, PublishedConfig known, Precondition entryCondition) {
        Optional<Long> base = request.base();
        Precondition condition = entryCondition;
        for (int round = 0; round < ROUNDS; round++) {
            Result<Head, StoreFailure> head = currentHead();
            if (!head.isOk()) {
                return ApplyOutcome.Refused.of(
                        request.id(), "nothing was published: " + head.error().detail());
            }
            long generation = head.value().manifest().generation();
            if (base.isPresent() && base.get() != generation) {
                return overtaken(request.id(), head.value().manifest(), base.get());
            }
            base = Optional.of(generation);
            Optional<ApplyOutcome> outcome = publishOn(head.value(), request, known, condition);
            if (outcome.isPresent()) {
                return outcome.get();
            }
            Result<Optional<StoredObject>, StoreFailure> entry =
                    trail.read(request.id().value());
            if (!entry.isOk()) {
                break;
            }
            condition = versionCondition(entry.value());
        }
        return ApplyOutcome.Refused.of(request.id(), "the configuration kept changing; apply again");
    }

    /** Reads the head; the first one is created so that every later write replaces one of known version. */
    private Result<Head, StoreFailure> currentHead() {
        Result<Head, StoreFailure> head = repository.readHead();
        if (head.isOk() && head.value().version() == 0) {
            repository.writeHead(Manifest.initial(), 0);
            head = repository.readHead();
            if (head.isOk() && head.value().version() == 0) {
                return Result.err(new StoreFailure("the platform did not take the first head"));
            }
        }
        return head;
    }

    /** Publishes over {@code head}; empty if the head was replaced by one that may still be of the same generation. */
    private Optional<ApplyOutcome> publishOn(
            Head head, ApplyRequest request, PublishedConfig known, Precondition entryCondition) {
        ApplyId id = request.id();
        Result<PublishedConfig, StoreFailure> current = repository.load(head, known);
        Result<List<IniSection>, StoreFailure> old = current.flatMap(Publisher::sectionsOf);
        if (!old.isOk()) {
            return Optional.of(ApplyOutcome.Refused.of(
                    id, "nothing was published: " + old.error().detail()));
        }
        List<KeyChange> changes = ConfigDiff.between(old.value(), request.sections());
        if (changes.isEmpty()) {
            return Optional.of(
                    new ApplyOutcome.Unchanged(id.value(), head.manifest().generation()));
        }
        Result<Manifest, StoreFailure> next = prepare(head, request, changes, entryCondition);
        if (!next.isOk()) {
            return Optional.of(ApplyOutcome.Refused.of(
                    id, "nothing was published: " + next.error().detail()));
        }
        Optional<ApplyOutcome> outcome = replaceHead(head, next.value(), id, changes);
        if (outcome.isPresent() && outcome.get() instanceof ApplyOutcome.Accepted) {
            tidy(head.manifest(), next.value());
        }
        return outcome;
    }

    private Result<Manifest, StoreFailure> prepare(
            Head head, ApplyRequest request, List<KeyChange> changes, Precondition entryCondition) {
        Result<List<Piece>, StoreFailure> pieces = writePieces(head.manifest(), request);
        if (!pieces.isOk()) {
            return Result.err(pieces.error());
        }
        ApplyId id = request.id();
        Result<List<String>, StoreFailure> changePieces = trail.writeKeyChanges(id.value(), changes);
        if (!changePieces.isOk()) {
            return Result.err(changePieces.error());
        }
        long generation = head.manifest().generation() + 1;
        AuditEntry entry = AuditEntry.of(
                AuditKind.APPLY_ACCEPTED,
                request.operator(),
                clock.now(),
                request.from(),
                id.value(),
                "generation " + generation + ", " + changes.size() + " keys changed");
        ChainedEntry chained = new ChainedEntry(
                id.value(),
                generation,
                head.manifest().applyId(),
                head.manifest().entryHash(),
                head.version(),
                entry,
                changePieces.value());
        if (!trail.prepare(chained, entryCondition)) {
            return Result.err(new StoreFailure("the platform did not take the audit entry"));
        }
        return Result.ok(head.manifest().next(id, request.operator(), entry.at(), chained.hash(), pieces.value()));
    }

    private Result<List<Piece>, StoreFailure> writePieces(Manifest old, ApplyRequest request) {
        Map<String, Piece> kept = new HashMap<>();
        old.pieces().forEach(piece -> kept.put(piece.hash(), piece));
        List<Piece> pieces = new ArrayList<>();
        String text = new MergedSections(request.sections(), List.of()).canonicalText();
        for (String content : TextPieces.split(text)) {
            String hash = Sha256.of(content);
            Piece piece = kept.get(hash);
            if (piece == null) {
                piece = new Piece(request.id().value(), hash);
                Result<Piece, StoreFailure> written = repository.writePiece(piece, content);
                if (!written.isOk()) {
                    return Result.err(written.error());
                }
            }
            pieces.add(piece);
        }
        return Result.ok(pieces);
    }

    private Optional<ApplyOutcome> replaceHead(Head head, Manifest next, ApplyId id, List<KeyChange> changes) {
        for (int i = 0; i < HEAD_TRIES; i++) {
            WriteOutcome outcome = repository.writeHead(next, head.version());
            if (outcome instanceof WriteOutcome.Written) {
                return Optional.of(new ApplyOutcome.Accepted(id.value(), next.generation(), changes));
            }
            boolean isFirst = i == 0;
            if (isFirst && outcome instanceof WriteOutcome.Conflict) {
                return Optional.empty();
            }
            if (isFirst && outcome instanceof WriteOutcome.NotWritten notWritten) {
                return Optional.of(ApplyOutcome.Refused.of(id, "nothing was published: " + notWritten.detail()));
            }
        }
        ApplyOutcome settled = settler.settle(id);
        return Optional.of(
                settled instanceof ApplyOutcome.Accepted
                        ? new ApplyOutcome.Accepted(id.value(), next.generation(), changes)
                        : settled);
    }

    private void tidy(Manifest old, Manifest now) {
        List<Piece> dropped = new ArrayList<>(old.pieces());
        dropped.removeAll(now.pieces());
        dropped.forEach(repository::deletePiece);
        trail.prune(now.applyId(), now.generation());
    }

    private ApplyOutcome overtaken(ApplyId id, Manifest now, long base) {
        List<ConcurrentChange> since = new ArrayList<>();
        long newer = Math.min(
                Math.min(now.generation() - base, MAX_FOREIGN_CHANGES),
                now.recent().size());
        for (int i = 0; i < newer; i++) {
            since.add(foreignChange(now.recent().get(i), now.generation() - i));
        }
        Collections.reverse(since);
        return new ApplyOutcome.Overtaken(id.value(), now.generation(), since);
    }

    private ConcurrentChange foreignChange(String applyId, long generation) {
        Result<Optional<StoredObject>, StoreFailure> read = trail.read(applyId);
        if (read.isOk() && read.value().isPresent()) {
            Result<ChainedEntry, String> entry =
                    ChainedEntry.decode(read.value().get().value());
            if (entry.isOk()) {
                Result<List<KeyChange>, StoreFailure> changes = trail.readKeyChanges(entry.value());
                AuditEntry what = entry.value().entry();
                return new ConcurrentChange(
                        generation, applyId, what.who(), what.at(), changes.isOk() ? changes.value() : List.of());
            }
        }
        return new ConcurrentChange(generation, applyId, "", "", List.of());
    }

    private static Result<List<IniSection>, StoreFailure> sectionsOf(PublishedConfig config) {
        String name = "generation-" + config.generation();
        return switch (IniFile.parse(name, config.text())) {
            case Result.Ok<List<IniSection>, Problem> ok -> Result.ok(ok.value());
            case Result.Err<List<IniSection>, Problem> err ->
                Result.err(new StoreFailure(err.error().toString()));
        };
    }

    private static Precondition versionCondition(Optional<StoredObject> object) {
        return object.map(found -> Precondition.atVersion(found.version())).orElse(Precondition.absent());
    }
}
