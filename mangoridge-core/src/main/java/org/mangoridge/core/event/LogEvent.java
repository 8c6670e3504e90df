package org.mangoridge.core.event;

import java.util.logging.Level;

/**
 * Every event that the system logs; numbers are never used again.
 *
 * <p>1xx: life of an instance. 2xx: requests. 3xx: backend servers. 4xx: configuration. 5xx: platform. 6xx: peers.
 * 7xx: claims. 8xx: leases and orders.
 */
public enum LogEvent {
    /** The instance listens. */
    INSTANCE_STARTED(101, Level.INFO, "instance started"),
    /** The instance takes no new requests. */
    INSTANCE_DRAINING(102, Level.INFO, "instance draining"),
    /** The instance ends. */
    INSTANCE_STOPPED(103, Level.INFO, "instance stopped"),
    /** The instance read its settings again. */
    SETTINGS_RELOADED(104, Level.INFO, "settings reloaded"),
    /** The instance became ready for callers, or ceased to be. */
    READINESS_CHANGED(105, Level.INFO, "readiness changed"),
    /** The process stood still. */
    INSTANCE_PAUSED(106, Level.WARNING, "process stood still"),
    /** A defect of the system. */
    INTERNAL_ERROR(199, Level.SEVERE, "internal error"),
    /** A request was refused. */
    REQUEST_REFUSED(201, Level.INFO, "request refused"),
    /** A caller went before its answer was complete. */
    CALLER_GONE(202, Level.INFO, "caller gone"),
    /** An answer that names another attempt was dropped. */
    STALE_ANSWER_DROPPED(203, Level.WARNING, "answer of another attempt dropped"),
    /** A request was given to a backend server, or to a pair of them. */
    REQUEST_PLACED(204, Level.INFO, "request placed"),
    /** A request waits for room at a backend server. */
    REQUEST_WAITING(205, Level.INFO, "request waiting"),
    /** A request has the final answer of a backend server. */
    REQUEST_ANSWERED(206, Level.INFO, "request answered"),
    /** A stream goes on at another backend server. */
    STREAM_RESUMED(207, Level.INFO, "stream resumed"),
    /** A stream was ended before it was complete. */
    STREAM_CUT(208, Level.WARNING, "stream cut"),
    /** A prefill server has read the prompt of a request. */
    PROMPT_READ(209, Level.INFO, "prompt read"),
    /** A decode server keeps no room for a request whose prompt is to be read. */
    ROOM_REFUSED(210, Level.INFO, "room refused"),
    /** An attempt at a backend server failed. */
    ATTEMPT_FAILED(301, Level.WARNING, "attempt failed"),
    /** A cancel was not acknowledged in time. */
    CANCEL_UNACKNOWLEDGED(302, Level.WARNING, "cancel not acknowledged"),
    /** A load report could not be read. */
    LOAD_REPORT_FAILED(303, Level.WARNING, "load report failed"),
    /** A backend server may be given work. */
    SERVER_LISTED(304, Level.INFO, "server listed"),
    /** A backend server takes no new work. */
    SERVER_LEAVING(305, Level.INFO, "server leaving"),
    /** A backend server is gone. */
    SERVER_GONE(306, Level.INFO, "server gone"),
    /** A backend server is given no work for a time, since it did not answer. */
    SERVER_EJECTED(307, Level.WARNING, "server ejected"),
    /** The entry of a backend server can't be read and names no server. */
    SERVER_ENTRY_UNREADABLE(308, Level.WARNING, "server entry unreadable"),
    /** A configuration came into force. */
    CONFIGURATION_ADOPTED(401, Level.INFO, "configuration adopted"),
    /** A configuration was rejected; the last good one stays in force. */
    CONFIGURATION_REJECTED(402, Level.WARNING, "configuration rejected"),
    /** The platform does not answer. */
    PLATFORM_UNAVAILABLE(501, Level.WARNING, "platform unavailable"),
    /** The platform answers again. */
    PLATFORM_BACK(502, Level.INFO, "platform back"),
    /** Another instance is there, new or again. */
    PEER_JOINED(601, Level.INFO, "peer joined"),
    /** Another instance does not answer. */
    PEER_SUSPECTED(602, Level.INFO, "peer suspected"),
    /** A run of another instance is gone. */
    PEER_GONE(603, Level.WARNING, "peer gone"),
    /** A connection between instances failed. */
    PEER_CONNECTION_FAILED(604, Level.WARNING, "peer connection failed"),
    /** A later run of this instance is in use. */
    INSTANCE_SUPERSEDED(605, Level.SEVERE, "instance superseded"),
    /** Work of a run that is gone was cancelled at a server. */
    ORPHAN_CANCELLED(606, Level.WARNING, "orphaned attempt cancelled"),
    /** Work of a run that is gone could not be listed or cancelled; it is tried again. */
    ORPHAN_CANCEL_FAILED(607, Level.WARNING, "orphaned attempts not cancelled"),
    /** The end of an attempt could not be written; its claim may be stuck. */
    CLAIM_UNFINISHED(701, Level.WARNING, "claim unfinished"),
    /** This instance holds the lease of a service's orders. */
    LEASE_TAKEN(801, Level.INFO, "lease taken"),
    /** This instance no longer holds a lease. */
    LEASE_LOST(802, Level.INFO, "lease lost"),
    /** An order to an engine was answered or given up. */
    ORDER_GIVEN(803, Level.INFO, "order given"),
    /** An order or a drain is not known to stand in the audit trail. */
    AUDIT_ENTRY_NOT_KEPT(804, Level.WARNING, "audit entry not kept");

    private static final String PREFIX = "MR-";

    private final int number;
    private final Level level;
    private final String text;

    LogEvent(int number, Level level, String text) {
        this.number = number;
        this.level = level;
        this.text = text;
    }

    /** Returns the event's name in logs and in the catalogue, such as {@code MR-101}. */
    public String code() {
        return PREFIX + number;
    }

    /** Returns the level that the event is logged at. */
    public Level level() {
        return level;
    }

    /** Returns what happened, in a few words. */
    public String text() {
        return text;
    }
}
