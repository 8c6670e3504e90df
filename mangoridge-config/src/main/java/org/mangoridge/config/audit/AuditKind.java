package org.mangoridge.config.audit;

/** What an audit entry is about. */
public enum AuditKind {
    /** A configuration that was accepted. */
    APPLY_ACCEPTED,
    /** A configuration that was refused. */
    APPLY_REFUSED,
    /** An instance that was told to drain. */
    DRAIN,
    /** An order to an engine. */
    ENGINE_ORDER,
    /** A claim whose outcome an operator settled. */
    CLAIM_SETTLED,
    /** A configuration that was written back after the platform went back to an old copy. */
    CONFIGURATION_RESTORED
}
