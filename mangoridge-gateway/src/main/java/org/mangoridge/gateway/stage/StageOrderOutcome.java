package org.mangoridge.gateway.stage;

/** What became of an order. */
public enum StageOrderOutcome {
    /** The server carries it out. */
    ACCEPTED,
    /** The server has the stage already. */
    ALREADY_SO,
    /** The server is busy with another order, or took one since it was asked for its state. */
    BUSY,
    /** The server knows a later holder of the lease. */
    OLD_FENCING,
    /** The server refused, or another server has its address. */
    REFUSED,
    /** The order may have arrived, or may yet. */
    UNKNOWN
}
