package org.mangoridge.dispatch.request;

import java.util.OptionalLong;

/**
 * How far a caller has received an event stream, and whether the events of a server continue it; confined to one thread.
 *
 * <p>Event ids increase, not necessarily by one. Within the answer of one server nothing can be missing; where another
 * server goes on, its first event may be no further ahead than two successive events of the stream have been before.
 */
public final class StreamPosition {

    private OptionalLong lastId;
    private long largestStep = 1;
    private boolean delivered;
    private boolean lastHasId;
    private boolean eventBegun;

    /** What is to be done with an event. */
    public enum Order {
        /** It is the next one. */
        NEXT,
        /** The caller has received it before. */
        REPEATED,
        /** It does not continue the stream. */
        BROKEN
    }

    private StreamPosition(OptionalLong lastId) {
        this.lastId = lastId;
    }

    /** Returns the position of a caller that has received the events up to {@code lastId}; empty if none. */
    public static StreamPosition after(OptionalLong lastId) {
        return new StreamPosition(lastId);
    }

    /**
     * Judges the next event of a server's answer.
     *
     * @param id the id of the event; empty if it has none
     * @param resuming whether it would be the first of an answer that goes on with the stream of another server
     */
    public Order judge(OptionalLong id, boolean resuming) {
        if (id.isEmpty()) {
            return resuming ? Order.BROKEN : Order.NEXT;
        }
        if (lastId.isEmpty()) {
            return Order.NEXT;
        }
        long step = id.getAsLong() - lastId.getAsLong();
        if (step == 0 || step < 0 && !delivered) {
            return Order.REPEATED;
        }
        return step < 0 || resuming && step > largestStep ? Order.BROKEN : Order.NEXT;
    }

    /** Records that the caller was sent an event. */
    public void recordDelivered(OptionalLong id) {
        if (id.isPresent()) {
            if (delivered && lastId.isPresent()) {
                largestStep = Math.max(largestStep, id.getAsLong() - lastId.getAsLong());
            }
            lastId = id;
        }
        delivered = true;
        lastHasId = id.isPresent();
        eventBegun = false;
    }

    /** Records that a server broke off within the event after the last one, so that the stream is not complete. */
    public void recordBegunEvent() {
        eventBegun = true;
    }

    /** Returns the id of the last event with one that the caller has received. */
    public OptionalLong lastId() {
        return lastId;
    }

    /** Returns whether another server can go on after the last event; without its id, it would repeat or miss some. */
    public boolean canResume() {
        return !delivered || lastHasId;
    }

    /** Returns whether it is known that a further event follows the last one. */
    public boolean expectsMore() {
        return eventBegun;
    }
}
