package org.mangoridge.entry.lifecycle;

import java.util.concurrent.Executor;

import org.mangoridge.config.audit.AuditEntry;
import org.mangoridge.config.audit.AuditKind;
import org.mangoridge.config.audit.AuditLog;
import org.mangoridge.config.audit.ChainedEntry;
import org.mangoridge.core.Result;
import org.mangoridge.core.event.EventLog;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.Owner;
import org.mangoridge.core.time.Clock;
import org.mangoridge.objects.StoreFailure;

/** Records in the audit trail which operator requested a shutdown, without delaying the shutdown. */
public final class DrainAudit {

    private final AuditLog trail;
    private final Owner owner;
    private final Clock clock;
    private final Executor executor;

    private DrainAudit(AuditLog trail, Owner owner, Clock clock, Executor executor) {
        this.trail = trail;
        this.owner = owner;
        this.clock = clock;
        this.executor = executor;
    }

    /** Returns an audit of shutdowns of the instance {@code owner} that writes entries on {@code executor}. */
    public static DrainAudit create(AuditLog trail, Owner owner, Clock clock, Executor executor) {
        return new DrainAudit(trail, owner, clock, executor);
    }

    /** Records asynchronously that {@code operator} requested the shutdown; a failure is logged. */
    public void recordRequest(String operator) {
        AuditEntry entry = AuditEntry.of(
                AuditKind.DRAIN, operator, clock.now(), owner.instance().value(), owner.toString(), "begun");
        executor.execute(() -> append(entry));
    }

    private void append(AuditEntry entry) {
        Result<ChainedEntry, StoreFailure> appended = trail.append(entry);
        if (!appended.isOk()) {
            EventLog.write(
                    LogEvent.AUDIT_ENTRY_NOT_KEPT,
                    Field.of("drain", entry.subject()),
                    Field.of("operator", entry.who()),
                    Field.of("detail", appended.error().detail()));
        }
    }
}
