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
 * Publishes configurations. The pieces and the audit entry are written first; a conditional write of the head then
 * publishes the new generation atomically.
 *
 * <p>Calls block. Safe for use by several threads.
 */
public final class Publisher {

    private static final int MAX_PUBLISH_ATTEMPTS = 3;
    private static final int MAX_HEAD_WRITE_ATTEMPTS = 3;
    private static final int MAX_REPORTED_CHANGES = 20;

    /**
     * The difference between the configuration in force and a proposed one.
     *
     * @param generation the generation in force
     * @param changes the keys that differ
     */
    public record Difference(long generation, List<KeyChange> changes) {}

    private final ConfigRepository repository;
    private final ChangeTrail trail;
    private final ApplyOutcomeResolver resolver;
    private final AuditLog refusals;
    private final Clock clock;

    private Publisher(ObjectStore store, AuditLog refusals, Clock clock) {
        this.repository = ConfigRepository.create(store);
        this.trail = ChangeTrail.create(store);
        this.resolver = new ApplyOutcomeResolver(repository, trail, clock);
        this.refusals = refusals;
        this.clock = clock;
    }

    /** Returns a publisher that records refused applies in {@code refusals}. */
    public static Publisher create(ObjectStore store, AuditLog refusals, Clock clock) {
        return new Publisher(store, refusals, clock);
    }

    /** Returns what publishing {@code sections} would change; pieces in {@code known} are not read from the store. */
    public Result<Difference, StoreFailure> diff(List<IniSection> sections, PublishedConfig known) {
        return repository.readHead().flatMap(head -> repository
                .load(head, known)
                .flatMap(config -> parseSections(config))
                .map(old -> new Difference(head.manifest().generation(), ConfigDiff.between(old, sections))));
    }

    /**
     * Publishes a configuration.
     *
     * @param known the newest configuration that the caller has seen in force; it is written back first if the store
     *     holds an older one
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

    /** Returns the outcome of an earlier apply; accepted or refused only if that is certain. */
    public ApplyOutcome outcomeOf(ApplyId id) {
        return resolver.resolve(id);
    }

    /** Publishes an INI text as {@code operator}, based on the generation in force. */
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
            ApplyOutcome resolved = resolver.resolve(id);
            if (!(resolved instanceof ApplyOutcome.Refused)) {
                return resolved;
            }
        }
        if (!repository.restore(known)) {
            return ApplyOutcome.Refused.of(
                    id, "the platform does not hold generation " + known.generation() + " yet; apply again");
        }
        return publishWithRetries(request, known, versionCondition(earlier.value()));
    }

    private ApplyOutcome publishWithRetries(ApplyRequest request, PublishedConfig known, Precondition entryCondition) {
        Optional<Long> base = request.base();
        Precondition condition = entryCondition;
        for (int attempt = 0; attempt < MAX_PUBLISH_ATTEMPTS; attempt++) {
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
            Optional<ApplyOutcome> outcome = tryPublish(head.value(), request, known, condition);
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

    /** Reads the head and creates it if it does not exist, so that every publication replaces a known version. */
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

    /**
     * Tries to publish the successor of {@code head}.
     *
     * @return the outcome; empty if the head was replaced in the meantime, possibly by one of the same generation
     */
    private Optional<ApplyOutcome> tryPublish(
            Head head, ApplyRequest request, PublishedConfig known, Precondition entryCondition) {
        ApplyId id = request.id();
        Result<PublishedConfig, StoreFailure> current = repository.load(head, known);
        Result<List<IniSection>, StoreFailure> old = current.flatMap(Publisher::parseSections);
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
            cleanUp(head.manifest(), next.value());
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
        Map<String, Piece> existing = new HashMap<>();
        old.pieces().forEach(piece -> existing.put(piece.hash(), piece));
        List<Piece> pieces = new ArrayList<>();
        String text = new MergedSections(request.sections(), List.of()).canonicalText();
        for (String content : TextPieces.split(text)) {
            String hash = Sha256.of(content);
            Piece piece = existing.get(hash);
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
        for (int i = 0; i < MAX_HEAD_WRITE_ATTEMPTS; i++) {
            WriteOutcome outcome = repository.writeHead(next, head.version());
            if (outcome instanceof WriteOutcome.Written) {
                return Optional.of(new ApplyOutcome.Accepted(id.value(), next.generation(), changes));
            }
            // A conflict or failure of a later attempt does not tell whether an earlier attempt took effect.
            boolean isFirst = i == 0;
            if (isFirst && outcome instanceof WriteOutcome.Conflict) {
                return Optional.empty();
            }
            if (isFirst && outcome instanceof WriteOutcome.NotWritten notWritten) {
                return Optional.of(ApplyOutcome.Refused.of(id, "nothing was published: " + notWritten.detail()));
            }
        }
        ApplyOutcome resolved = resolver.resolve(id);
        return Optional.of(
                resolved instanceof ApplyOutcome.Accepted
                        ? new ApplyOutcome.Accepted(id.value(), next.generation(), changes)
                        : resolved);
    }

    /** Deletes the pieces that the current manifest no longer uses and prunes the audit trail. */
    private void cleanUp(Manifest old, Manifest current) {
        List<Piece> unused = new ArrayList<>(old.pieces());
        unused.removeAll(current.pieces());
        unused.forEach(repository::deletePiece);
        trail.prune(current.applyId(), current.generation());
    }

    private ApplyOutcome overtaken(ApplyId id, Manifest current, long base) {
        List<ConcurrentChange> since = new ArrayList<>();
        long reported = Math.min(
                Math.min(current.generation() - base, MAX_REPORTED_CHANGES),
                current.recent().size());
        for (int i = 0; i < reported; i++) {
            since.add(concurrentChange(current.recent().get(i), current.generation() - i));
        }
        Collections.reverse(since);
        return new ApplyOutcome.Overtaken(id.value(), current.generation(), since);
    }

    private ConcurrentChange concurrentChange(String applyId, long generation) {
        Result<Optional<StoredObject>, StoreFailure> read = trail.read(applyId);
        if (read.isOk() && read.value().isPresent()) {
            Result<ChainedEntry, String> entry =
                    ChainedEntry.decode(read.value().get().value());
            if (entry.isOk()) {
                Result<List<KeyChange>, StoreFailure> changes = trail.readKeyChanges(entry.value());
                AuditEntry audited = entry.value().entry();
                return new ConcurrentChange(
                        generation, applyId, audited.who(), audited.at(), changes.isOk() ? changes.value() : List.of());
            }
        }
        return new ConcurrentChange(generation, applyId, "", "", List.of());
    }

    private static Result<List<IniSection>, StoreFailure> parseSections(PublishedConfig config) {
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
