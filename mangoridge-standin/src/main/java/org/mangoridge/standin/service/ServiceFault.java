package org.mangoridge.standin.service;

/** A fault injected into one order of a stand-in service. */
public enum ServiceFault {
    /** Closes the connection without running the order. */
    DIE_BEFORE_RUN,
    /** Runs the order and closes the connection without an answer. */
    DIE_AFTER_RUN,
    /** Delays the order until {@link ServiceStandIn#resume}, then runs it. */
    STALL,
    /** Runs the order, and delays the answer until {@link ServiceStandIn#resume}. */
    LATE_ANSWER,
    /** Runs the order and truncates the answer. */
    TRUNCATED_ANSWER,
    /** Runs the order and returns the answer of another attempt. */
    CROSSED_ANSWER
}
