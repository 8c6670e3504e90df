package org.mangoridge.config.audit;

import java.time.Instant;

import org.mangoridge.core.Checks;

/**
 * Records an event, who caused it and its outcome. Never contains a secret.
 *
 * @param kind the kind of event
 * @param who the operator, or the instance that acted on its own
 * @param at the time in ISO 8601, UTC
 * @param from the origin of the request
 * @param subject the object concerned, such as an apply id, a server or a claim
 * @param outcome the outcome in words
 */
public record AuditEntry(AuditKind kind, String who, String at, String from, String subject, String outcome) {

    private static final int MAX_FIELD_CHARACTERS = 4000;

    public AuditEntry {
        Checks.notNull(kind, "kind");
        Checks.notNull(at, "time");
        who = truncated(Checks.notNull(who, "who"));
        from = truncated(Checks.notNull(from, "from"));
        subject = truncated(Checks.notNull(subject, "subject"));
        outcome = truncated(Checks.notNull(outcome, "outcome"));
    }

    /** Returns an entry; texts of more than 4000 characters are truncated. */
    public static AuditEntry of(AuditKind kind, String who, Instant at, String from, String subject, String outcome) {
        return new AuditEntry(kind, who, at.toString(), from, subject, outcome);
    }

    private static String truncated(String text) {
        return text.length() <= MAX_FIELD_CHARACTERS ? text : text.substring(0, MAX_FIELD_CHARACTERS);
    }
}
