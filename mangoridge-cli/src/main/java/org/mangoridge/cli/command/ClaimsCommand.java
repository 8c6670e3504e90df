package org.mangoridge.cli.command;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.apache.commons.cli.Options;
import org.mangoridge.claims.store.ClaimBenchmark;
import org.mangoridge.claims.store.Settlement;
import org.mangoridge.claims.store.SettlementAudit;
import org.mangoridge.claims.store.StuckClaim;
import org.mangoridge.claims.store.StuckClaims;
import org.mangoridge.config.audit.AuditEntry;
import org.mangoridge.config.audit.AuditKind;
import org.mangoridge.config.audit.AuditLog;
import org.mangoridge.core.Result;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.time.Clock;
import org.mangoridge.core.time.SystemClock;
import org.mangoridge.http.HttpTransport;
import org.mangoridge.objects.ListedInstance;
import org.mangoridge.objects.ObjectStore;
import org.mangoridge.objects.StoreFailure;
import org.mangoridge.objects.WriteOutcome;
import org.mangoridge.objects.http.HttpObjectStore;
import org.mangoridge.settings.ini.Values;

/** Shows the claims of a service that have no known outcome, and settles one. */
public final class ClaimsCommand implements Command {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int MAX_LISTED = 500;
    private static final int BENCH_CALLERS = 200;
    private static final int BENCH_WRITES_PER_SECOND = 300;
    private static final Duration BENCH_TIME = Duration.ofSeconds(10);
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final String AUDIT_TRAIL = "claims";

    private final Clock clock = SystemClock.instance();

    @Override
    public String name() {
        return "claims";
    }

    @Override
    public String arguments() {
        return "list|settle|bench";
    }

    @Override
    public String summary() {
        return "Show a service's stuck claims, settle one, or measure claims.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(null, "platform", true, "the platform's object API, HOST:PORT")
                .addOption(null, "service", true, "the service (list, settle)")
                .addOption(null, "object", true, "the claim's object as list prints it (settle)")
                .addOption(null, "as", true, "what became of the call: ran or not-run (settle)")
                .addOption(null, "operator", true, "who settles, for the audit trail (settle)")
                .addOption(null, "holder-ended", false, "the run of the instance that holds the claim has ended");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        String verb = invocation.onlyArgument("list, settle or bench");
        try (HttpTransport transport = HttpTransport.create(TIMEOUT)) {
            ObjectStore store = HttpObjectStore.create(transport, invocation.requiredAddress("platform"), TIMEOUT);
            return switch (verb) {
                case "list" -> list(invocation, store);
                case "settle" -> settle(invocation, store);
                case "bench" -> bench(invocation, store);
                default -> throw new UsageException("expected list, settle or bench: " + verb);
            };
        }
    }

    private ExitCode list(Invocation invocation, ObjectStore store) {
        Result<List<StuckClaim>, StoreFailure> found = claims(store).list(service(invocation), MAX_LISTED);
        if (!found.isOk()) {
            return failed(invocation, found.error().detail());
        }
        found.value().forEach(stuck -> invocation
                .out()
                .println(stuck.object() + " caller=" + stuck.claim().caller() + " key="
                        + stuck.claim().key() + " since=" + stuck.claim().claimedAt() + " holder="
                        + stuck.claim().holder() + " attempt=" + stuck.claim().attempt()));
        invocation.out().println(found.value().size() + " stuck");
        return ExitCode.DONE;
    }

    private ExitCode settle(Invocation invocation, ObjectStore store) {
        Settlement settlement = settlement(invocation);
        String operator = invocation.requiredOption("operator");
        String object = invocation.requiredOption("object");
        Result<List<StuckClaim>, StoreFailure> found = claims(store).list(service(invocation), MAX_LISTED);
        if (!found.isOk()) {
            return failed(invocation, found.error().detail());
        }
        Optional<StuckClaim> stuck = found.value().stream()
                .filter(candidate -> candidate.object().path().equals(object))
                .findFirst();
        if (stuck.isEmpty()) {
            return failed(invocation, "there is no stuck claim " + object);
        }
        if (settlement == Settlement.NOT_RUN && !invocation.has("holder-ended") && mayLive(store, stuck.get())) {
            return failed(
                    invocation,
                    "the holder " + stuck.get().claim().holder()
                            + " may still run the call; make sure that it has ended and give --holder-ended");
        }
        return switch (claims(store).settle(operator, stuck.get(), settlement)) {
            case WriteOutcome.Written written -> {
                invocation.out().println("settled as " + Values.choiceName(settlement));
                yield ExitCode.DONE;
            }
            case WriteOutcome.Conflict conflict -> failed(invocation, "the claim has changed; list it again");
            case WriteOutcome.NotWritten notWritten -> failed(invocation, notWritten.detail());
            case WriteOutcome.Unknown unknown -> failed(invocation, "not known; list it again: " + unknown.detail());
        };
    }

    private ExitCode bench(Invocation invocation, ObjectStore store) {
        try {
            ClaimBenchmark.Report report =
                    ClaimBenchmark.create(store, clock, BENCH_WRITES_PER_SECOND).run(BENCH_CALLERS, BENCH_TIME);
            invocation
                    .out()
                    .printf(
                            "%d served, %d refused early, %.1f orders/s, %.2f platform calls an order,"
                                    + " median added %.2f ms, median platform write %.2f ms%n",
                            report.served(),
                            report.refused(),
                            report.served() / (report.duration().toNanos() / NANOS_PER_SECOND),
                            (double) report.platformCalls() / report.served(),
                            report.medianLatency().toNanos() / NANOS_PER_MILLI,
                            report.medianWriteLatency().toNanos() / NANOS_PER_MILLI);
            return ExitCode.DONE;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.FAILED;
        }
    }

    private StuckClaims claims(ObjectStore store) {
        AuditLog log = AuditLog.create(store, AUDIT_TRAIL, new SplittableRandom(new SecureRandom().nextLong()));
        SettlementAudit audit = (operator, stuck, settlement) -> log.append(AuditEntry.of(
                        AuditKind.CLAIM_SETTLED,
                        operator,
                        clock.now(),
                        "command line",
                        stuck.object() + " of " + stuck.claim().caller(),
                        Values.choiceName(settlement)))
                .map(entry -> true);
        return StuckClaims.create(store, clock, audit);
    }

    private static boolean mayLive(ObjectStore store, StuckClaim stuck) {
        Result<List<ListedInstance>, StoreFailure> listed = store.instances();
        return !listed.isOk()
                || listed.value().stream()
                        .anyMatch(instance ->
                                stuck.claim().holder().startsWith(instance.id().value() + "/"));
    }

    private static Settlement settlement(Invocation invocation) {
        try {
            return Values.choice(invocation.requiredOption("as"), Settlement.class);
        } catch (IllegalArgumentException e) {
            throw new UsageException("--as: " + e.getMessage());
        }
    }

    private static ServiceId service(Invocation invocation) {
        return ServiceId.of(invocation.requiredOption("service"));
    }

    private static ExitCode failed(Invocation invocation, String why) {
        invocation.err().println("mangoridge claims: " + why);
        return ExitCode.FAILED;
    }
}
