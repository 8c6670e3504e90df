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

/** Records in the audit trail who told an instance to shut down; the shutdown does not wait for the record. */
public final class DrainAudit {

    private final AuditLog trail;
    private final Owner owner;
    private final Clock clock;
    private final Executor calls;

    private DrainAudit(AuditLog trail, Owner owner, Clock clock, Executor calls) {
        this.trail = trail;
        this.owner = owner;
        this.clock = clock;
        this.calls = calls;
    }

    /** Returns an audit of shutdowns of {@code owner} that writes on {@code calls}. */
    public static DrainAudit create(AuditLog trail, Owner owner, Clock clock, Executor calls) {
        return new DrainAudit(trail, owner, clock, calls);
    }

    /** Records that {@code operator} asked for the shutdown. */
    public void asked(String operator) {
        AuditEntry entry = AuditEntry.of(
                AuditKind.DRAIN, operator, clock.now(), owner.instance().value(), owner.toString(), "begun");
        calls.execute(() -> append(entry));
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
