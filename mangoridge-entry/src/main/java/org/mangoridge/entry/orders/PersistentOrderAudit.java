package org.mangoridge.entry.orders;

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
import org.mangoridge.orders.plan.EngineOrder;
import org.mangoridge.orders.plan.OrderOutcome;

/** Records orders in an audit log in the object store of the platform. */
public final class PersistentOrderAudit implements OrderAudit {

    private final AuditLog auditLog;
    private final Owner owner;
    private final Clock clock;

    private PersistentOrderAudit(AuditLog auditLog, Owner owner, Clock clock) {
        this.auditLog = auditLog;
        this.owner = owner;
        this.clock = clock;
    }

    /** Returns an audit of the orders sent by {@code owner}. */
    public static PersistentOrderAudit create(AuditLog auditLog, Owner owner, Clock clock) {
        return new PersistentOrderAudit(auditLog, owner, clock);
    }

    @Override
    public void record(EngineOrder order, OrderOutcome outcome) {
        AuditEntry entry = AuditEntry.of(
                AuditKind.ENGINE_ORDER,
                owner.toString(),
                clock.now(),
                owner.instance().value(),
                order.toString(),
                outcome.toString());
        Result<ChainedEntry, StoreFailure> appended = auditLog.append(entry);
        if (!appended.isOk()) {
            EventLog.write(
                    LogEvent.AUDIT_ENTRY_NOT_KEPT,
                    Field.of("order", order.id()),
                    Field.of("detail", appended.error().detail()));
        }
    }
}
