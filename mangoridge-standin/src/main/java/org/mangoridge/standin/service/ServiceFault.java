package org.mangoridge.standin.service;

/** What a stand-in service does wrong with one order. */
public enum ServiceFault {
    /** Closes the connection without running the order. */
    DIE_BEFORE_RUN,
    /** Runs the order and closes the connection without an answer. */
    DIE_AFTER_RUN,
    /** Holds the order, and runs it when told to go on. */
    STALL,
    /** Runs the order, and answers when told to go on. */
    LATE_ANSWER,
    /** Runs the order and cuts the answer short. */
    TRUNCATED_ANSWER,
    /** Runs the order and gives the answer of another attempt. */
    CROSSED_ANSWER
}
