package org.mangoridge.config.audit;

/** The kind of event that an audit entry records. The constant names are stored. */
public enum AuditKind {
    /** A configuration was accepted. */
    APPLY_ACCEPTED,
    /** A configuration was refused. */
    APPLY_REFUSED,
    /** An instance was told to drain. */
    DRAIN,
    /** An order was sent to an engine. */
    ENGINE_ORDER,
    /** An operator settled the outcome of a claim. */
    CLAIM_SETTLED,
    /** A configuration was written back after the platform was restored from an older backup. */
    CONFIGURATION_RESTORED
}
