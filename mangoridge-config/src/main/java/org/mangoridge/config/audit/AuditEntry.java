package org.mangoridge.config.audit;

import java.time.Instant;

import org.mangoridge.core.Checks;

/**
 * What happened, who asked for it and what came of it; never holds a secret.
 *
 * @param kind what it is about
 * @param who the operator, or the instance that acted by itself
 * @param at when, as ISO 8601 in UTC
 * @param from where the request came from
 * @param subject what it was done to, such as an apply id, a server or a claim
 * @param outcome what came of it
 */
public record AuditEntry(AuditKind kind, String who, String at, String from, String subject, String outcome) {

    private static final int MAX_TEXT_CHARACTERS = 4000;

    public AuditEntry {
        Checks.notNull(kind, "kind");
        Checks.notNull(at, "time");
        who = bounded(Checks.notNull(who, "who"));
        from = bounded(Checks.notNull(from, "from"));
        subject = bounded(Checks.notNull(subject, "subject"));
        outcome = bounded(Checks.notNull(outcome, "outcome"));
    }

    /** Returns an entry; long texts are cut. */
    public static AuditEntry of(AuditKind kind, String who, Instant at, String from, String subject, String outcome) {
        return new AuditEntry(kind, who, at.toString(), from, subject, outcome);
    }

    private static String bounded(String text) {
        return text.length() <= MAX_TEXT_CHARACTERS ? text : text.substring(0, MAX_TEXT_CHARACTERS);
    }
}
