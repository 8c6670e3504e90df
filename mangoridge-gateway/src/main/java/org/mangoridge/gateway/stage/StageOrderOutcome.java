package org.mangoridge.gateway.stage;

/** The outcome of a stage order. */
public enum StageOrderOutcome {
    /** The server accepted the order and changes its stage. */
    ACCEPTED,
    /** The server has the stage already. */
    ALREADY_SO,
    /** The server is busy with another order, or accepted one since its state was read. */
    BUSY,
    /** The server has seen a greater fencing token, that is, a later holder of the lease. */
    OLD_FENCING,
    /** The server refused, or another server has its address. */
    REFUSED,
    /** The answer was lost: the order may have arrived, or may still arrive. */
    UNKNOWN
}
