package org.mangoridge.routing.accounting;

/**
 * How much of a server was used.
 *
 * @param slotMillis time for which decode slots were held, in milliseconds
 * @param pieceMillis time for which memory pieces were held, in milliseconds
 * @param prefillTokens prompt tokens computed
 * @param linkBytes bytes fetched over the server's link
 */
public record ServerUsage(long slotMillis, long pieceMillis, long prefillTokens, long linkBytes) {

    /** Nothing. */
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
