package org.mangoridge.core.event;

import java.util.logging.Level;

/**
 * The events that the system logs. Numbers are stable: that of a removed event is not used again.
 *
 * <p>1xx: instance lifecycle. 2xx: requests. 3xx: backend servers. 4xx: configuration. 5xx: platform. 6xx: peers.
 * 7xx: claims. 8xx: leases and orders.
 */
public enum LogEvent {
    /** The instance started to listen. */
    INSTANCE_STARTED(101, Level.INFO, "instance started"),
    /** The instance stopped taking new requests. */
    INSTANCE_DRAINING(102, Level.INFO, "instance draining"),
    /** The instance stopped. */
    INSTANCE_STOPPED(103, Level.INFO, "instance stopped"),
    /** The instance reloaded its settings. */
    SETTINGS_RELOADED(104, Level.INFO, "settings reloaded"),
    /** The instance became ready for callers, or no longer is. */
    READINESS_CHANGED(105, Level.INFO, "readiness changed"),
    /** The process did not run for some time. */
    INSTANCE_PAUSED(106, Level.WARNING, "process stood still"),
    /** The instance answered the requests that were still in progress shortly before it stops. */
    REQUESTS_ENDED(107, Level.WARNING, "requests ended by the shutdown"),
    /** A buffer was given up because all buffers together had reached their limit. */
    BUFFER_EVICTED(108, Level.WARNING, "buffer evicted"),
    /** An unexpected error, which indicates a defect. */
    INTERNAL_ERROR(199, Level.SEVERE, "internal error"),
    /** A request was refused. */
    REQUEST_REFUSED(201, Level.INFO, "request refused"),
    /** A caller disconnected before its answer was complete. */
    CALLER_GONE(202, Level.INFO, "caller gone"),
    /** An answer that names a different attempt was dropped. */
    STALE_ANSWER_DROPPED(203, Level.WARNING, "answer of another attempt dropped"),
    /** A request was assigned to a backend server, or to a prefill and a decode server. */
    REQUEST_PLACED(204, Level.INFO, "request placed"),
    /** A request was queued until a backend server has capacity. */
    REQUEST_WAITING(205, Level.INFO, "request waiting"),
    /** A request received the final answer of a backend server. */
    REQUEST_ANSWERED(206, Level.INFO, "request answered"),
    /** A stream was resumed at another backend server. */
    STREAM_RESUMED(207, Level.INFO, "stream resumed"),
    /** A stream was ended before it was complete. */
    STREAM_CUT(208, Level.WARNING, "stream cut"),
    /** A prefill server completed the prefill of a request. */
    PROMPT_READ(209, Level.INFO, "prompt read"),
    /** A decode server refused to reserve capacity for a request before its prefill. */
    ROOM_REFUSED(210, Level.INFO, "room refused"),
    /** An attempt at a backend server failed. */
    ATTEMPT_FAILED(301, Level.WARNING, "attempt failed"),
    /** The cancellation of an attempt was not acknowledged in time. */
    CANCEL_UNACKNOWLEDGED(302, Level.WARNING, "cancel not acknowledged"),
    /** A load report could not be obtained. */
    LOAD_REPORT_FAILED(303, Level.WARNING, "load report failed"),
    /** A backend server was listed and may receive requests. */
    SERVER_LISTED(304, Level.INFO, "server listed"),
    /** A backend server takes no new requests. */
    SERVER_LEAVING(305, Level.INFO, "server leaving"),
    /** A backend server was removed. */
    SERVER_GONE(306, Level.INFO, "server gone"),
    /** A backend server was ejected: it did not answer and receives no requests for a time. */
    SERVER_EJECTED(307, Level.WARNING, "server ejected"),
    /** The entry of a backend server can't be parsed; no server is listed for it. */
    SERVER_ENTRY_UNREADABLE(308, Level.WARNING, "server entry unreadable"),
    /** The entry of a backend server is missing after an outage of the platform; the server is kept for a time. */
    SERVER_ENTRY_MISSING(309, Level.INFO, "server entry missing"),
    /** A backend server crashed while it was about to answer requests, or had just begun to. */
    SERVER_CRASHED(310, Level.WARNING, "server crashed"),
    /** The requests and parts of prompts that are kept from servers because they crash them have changed. */
    QUARANTINE_CHANGED(311, Level.WARNING, "quarantine changed"),
    /** The rate of requests that a backend server takes from all instances together has changed. */
    SERVER_LIMIT_CHANGED(312, Level.INFO, "server limit changed"),
    /** A backend server announces a limit that is no rate; it is ignored. */
    SERVER_LIMIT_UNREADABLE(313, Level.WARNING, "server limit unreadable"),
    /** A backend server rejected a request and asked this instance for a pause. */
    SERVER_PAUSED(314, Level.INFO, "server paused"),
    /** A backend server asks for a pause that is no number of seconds, or too long. */
    SERVER_PAUSE_INVALID(315, Level.WARNING, "server pause invalid"),
    /** A backend server has rejected all requests for some time and is asked less and less often. */
    SERVER_REJECTING(316, Level.WARNING, "server rejecting"),
    /** A backend server that started or recovered is used as far as its answers allow, or fully from now on. */
    SERVER_PACED(317, Level.INFO, "server paced"),
    /** A configuration was adopted. */
    CONFIGURATION_ADOPTED(401, Level.INFO, "configuration adopted"),
    /** A configuration was rejected; the last good one stays in force. */
    CONFIGURATION_REJECTED(402, Level.WARNING, "configuration rejected"),
    /** The platform does not answer. */
    PLATFORM_UNAVAILABLE(501, Level.WARNING, "platform unavailable"),
    /** The platform answers again. */
    PLATFORM_BACK(502, Level.INFO, "platform back"),
    /** The platform's store was restored from a copy and has lost its newest writes. */
    PLATFORM_RESTORED(503, Level.WARNING, "platform restored"),
    /** Another instance joined or came back. */
    PEER_JOINED(601, Level.INFO, "peer joined"),
    /** Another instance did not answer a probe. */
    PEER_SUSPECTED(602, Level.INFO, "peer suspected"),
    /** A run of another instance is gone. */
    PEER_GONE(603, Level.WARNING, "peer gone"),
    /** A connection between instances failed. */
    PEER_CONNECTION_FAILED(604, Level.WARNING, "peer connection failed"),
    /** A later run of this instance replaced this one. */
    INSTANCE_SUPERSEDED(605, Level.SEVERE, "instance superseded"),
    /** An attempt of an instance run that is gone was cancelled at a backend server. */
    ORPHAN_CANCELLED(606, Level.WARNING, "orphaned attempt cancelled"),
    /** Attempts of an instance run that is gone could not be listed or cancelled; this is retried. */
    ORPHAN_CANCEL_FAILED(607, Level.WARNING, "orphaned attempts not cancelled"),
    /** The end of an attempt could not be stored; its claim may be stuck. */
    CLAIM_UNFINISHED(701, Level.WARNING, "claim unfinished"),
    /** This instance acquired the lease for a service's orders. */
    LEASE_TAKEN(801, Level.INFO, "lease taken"),
    /** This instance no longer holds a lease. */
    LEASE_LOST(802, Level.INFO, "lease lost"),
    /** An order to an engine was answered or abandoned. */
    ORDER_GIVEN(803, Level.INFO, "order given"),
    /** An order or a drain may be missing from the audit trail. */
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

    /** Returns the event's code in logs and in the event catalogue, such as {@code MR-101}. */
    public String code() {
        return PREFIX + number;
    }

    /** Returns the level that the event is logged at. */
    public Level level() {
        return level;
    }

    /** Returns the text that is logged for the event. */
    public String text() {
        return text;
    }
}
