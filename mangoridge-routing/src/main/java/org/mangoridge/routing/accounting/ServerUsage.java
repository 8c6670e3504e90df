package org.mangoridge.routing.accounting;

/**
 * The resources of a server that were used.
 *
 * @param slotMillis the time for which decode slots were held, in slot-milliseconds
 * @param pieceMillis the time for which memory pieces were held, in piece-milliseconds
 * @param prefillTokens the computed prompt tokens
 * @param linkBytes the bytes fetched over the server's link
 */
public record ServerUsage(long slotMillis, long pieceMillis, long prefillTokens, long linkBytes) {

    /** No usage. */
    public static final ServerUsage NONE = new ServerUsage(0, 0, 0, 0);

    /** Returns the sum of this and {@code other}. */
    public ServerUsage plus(ServerUsage other) {
        return new ServerUsage(
                slotMillis + other.slotMillis,
                pieceMillis + other.pieceMillis,
                prefillTokens + other.prefillTokens,
                linkBytes + other.linkBytes);
    }
}
