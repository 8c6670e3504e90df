package org.mangoridge.entry.audit;

import org.mangoridge.config.audit.AuditEntry;
import org.mangoridge.config.audit.AuditKind;
import org.mangoridge.config.audit.AuditLog;
import org.mangoridge.core.Result;
import org.mangoridge.core.event.EventLog;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.Owner;
import org.mangoridge.core.time.Clock;
import org.mangoridge.entry.orders.OrderAudit;
import org.mangoridge.orders.plan.EngineOrder;
import org.mangoridge.orders.plan.OrderOutcome;
import org.mangoridge.platform.StoreFailure;

/**
 * Enters every order to an engine into the audit trail.
 *
 * @param audit the trail of the zone
 * @param owner the instance that gives the orders
 * @param clock tells when
 */
public record OrderTrail(AuditLog audit, Owner owner, Clock clock) implements OrderAudit {

    @Override
    public void record(EngineOrder order, OrderOutcome outcome) {
        String subject = order.server() + ": " + describe(order) + ", order " + order.id() + ", fencing number "
                + order.fencing();
        AuditEntry entry = AuditEntry.of(
                AuditKind.ENGINE_ORDER, owner.instance().value(), clock.now(), "", subject, describe(outcome));
        Result<?, StoreFailure> appended = audit.append(entry);
        if (!appended.isOk()) {
            EventLog.write(
                    LogEvent.AUDIT_ENTRY_LOST,
                    Field.of("subject", subject),
                    Field.of("detail", appended.error().detail()));
        }
    }

    private static String describe(EngineOrder order) {
        return switch (order) {
            case EngineOrder.LoadModel load -> "load " + load.model() + " version " + load.version();
            case EngineOrder.ChangeRole change -> "take role " + change.role();
        };
    }

    private static String describe(OrderOutcome outcome) {
        return switch (outcome) {
            case OrderOutcome.Obeyed obeyed -> "obeyed";
            case OrderOutcome.OldFencing old -> "refused, the engine has seen fencing number " + old.seen();
            case OrderOutcome.Refused refused -> "refused: " + refused.detail();
            case OrderOutcome.Unknown unknown -> "unknown: " + unknown.detail();
        };
    }
}
