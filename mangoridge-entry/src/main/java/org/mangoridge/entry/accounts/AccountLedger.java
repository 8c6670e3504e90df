package org.mangoridge.entry.accounts;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.CallerId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.time.Clock;
import org.mangoridge.core.verdict.RefusalReason;
import org.mangoridge.entry.control.ControlLoop;
import org.mangoridge.routing.accounting.CallerAccounts;
import org.mangoridge.routing.accounting.CallerUsage;
import org.mangoridge.routing.accounting.RefusalAccounts;
import org.mangoridge.routing.accounting.ServerAccounts;
import org.mangoridge.routing.accounting.UsageKey;

/** Records the outcomes of requests and the resource usage by caller and server; thread-safe. */
public final class AccountLedger {

    private final ControlLoop control;
    private final Clock clock;
    private final Counter served;
    private final Counter refused;
    private final Counter abandoned;
    private final Counter outputTokens;
    private final CallerAccounts callers = CallerAccounts.create();
    private final ServerAccounts servers = ServerAccounts.create();
    private final RefusalAccounts refusals = RefusalAccounts.create();

    private AccountLedger(ControlLoop control, MetricRegistry metrics, Clock clock) {
        this.control = control;
        this.clock = clock;
        served = metrics.counter("requests.served");
        refused = metrics.counter("requests.refused");
        abandoned = metrics.counter("requests.abandoned");
        outputTokens = metrics.counter("tokens.output");
    }

    /**
     * Returns an empty ledger and registers its counters of requests and tokens, which start at 0.
     *
     * @param control the thread that all accounts are confined to
     * @param metrics the registry of the counters
     * @param clock the clock that usage is timed with
     */
    public static AccountLedger create(ControlLoop control, MetricRegistry metrics, Clock clock) {
        return new AccountLedger(control, metrics, clock);
    }

    /** Records a request that was answered completely. */
    public void recordServed(CallerId caller, int promptTokens, int generatedTokens) {
        served.inc();
        outputTokens.inc(generatedTokens);
        control.post(() -> callers.update(caller, usage -> usage.plusServed(promptTokens, generatedTokens)));
    }

    /** Records a request that was refused. */
    public void recordRefusal(CallerId caller) {
        refused.inc();
        control.post(() -> callers.update(caller, CallerUsage::plusRefused));
    }

    /** Records a refused model request and the reason. */
    public void recordRefusal(UsageKey key, RefusalReason reason) {
        recordRefusal(key.caller());
        control.post(() -> refusals.recordRefusal(key, reason, clock.elapsed()));
    }

    /** Returns a recorder of the resource usage of an attempt. */
    public AttemptUsageRecorder usageRecorder(AttemptId attempt, UsageKey key) {
        return new AttemptUsageRecorder(this, attempt, key);
    }

    /** Returns a future of the report on the usage of {@code server} and the refusals of its {@code service}. */
    public CompletableFuture<TopReport> topReport(ServerId server, ServiceId service) {
        return control.ask(() -> {
            Duration now = clock.elapsed();
            return TopReport.of(service, servers.report(server, now), refusals.report(service, now));
        });
    }

    /** Posts a change of the server accounts to the control thread; the change receives the current time. */
    void postServerUsage(BiConsumer<ServerAccounts, Duration> change) {
        control.post(() -> change.accept(servers, clock.elapsed()));
    }

    /** Records a request whose caller disconnected. */
    public void recordAbandoned(CallerId caller, int generatedTokens) {
        abandoned.inc();
        control.post(() -> callers.update(caller, usage -> usage.plusAbandoned(generatedTokens)));
    }

    /** Returns a future of the total usage of each caller. */
    public CompletableFuture<List<CallerUsage>> callerUsages() {
        return control.ask(callers::usages);
    }
}
