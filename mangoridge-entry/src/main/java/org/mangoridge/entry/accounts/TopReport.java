package org.mangoridge.entry.accounts;

import java.util.List;

import org.mangoridge.core.id.ServiceId;
import org.mangoridge.routing.accounting.RefusalAccounts;
import org.mangoridge.routing.accounting.ServerAccounts;

/**
 * Whose requests filled a server, as one instance saw it, and what was refused meanwhile.
 *
 * @param server the server
 * @param service the service that it serves
 * @param periodSeconds the time that the report covers at most
 * @param used the greatest use first
 * @param missedMillis the most milliseconds of slots, or of prefill, that a caller without a line can have
 * @param refused refused requests of the service, the most first
 */
public record TopReport(
        String server,
        String service,
        long periodSeconds,
        List<UsageEntry> used,
        long missedMillis,
        List<RefusalEntry> refused) {

    private static final double MILLIS_PER_SECOND = 1000;

    /**
     * The use of one caller.
     *
     * @param caller the caller
     * @param callerClass its class
     * @param service the service that it asked for
     * @param slotsHeld the slots that it holds now
     * @param slotSeconds time for which it held slots
     * @param pieceSeconds time for which it held memory pieces
     * @param prefillTokens prompt tokens computed for it
     * @param linkBytes bytes fetched for it
     * @param missedMillis how much of its use may be missing, in milliseconds of slots or of prefill
     */
    public record UsageEntry(
            String caller,
            String callerClass,
            String service,
            int slotsHeld,
            double slotSeconds,
            double pieceSeconds,
            long prefillTokens,
            long linkBytes,
            long missedMillis) {}

    /**
     * Refused requests.
     *
     * @param caller whose
     * @param callerClass its class
     * @param reason why
     * @param count an upper bound of how many
     * @param missed how many of them may belong to others
     */
    public record RefusalEntry(String caller, String callerClass, String reason, long count, long missed) {}

    static TopReport of(ServiceId service, ServerAccounts.Report report, List<RefusalAccounts.Line> refusals) {
        return new TopReport(
                report.server().value(),
                service.value(),
                report.period().toSeconds(),
                report.lines().stream().map(TopReport::used).toList(),
                report.maxUnlistedWeight(),
                refusals.stream().map(TopReport::refused).toList());
    }

    private static UsageEntry used(ServerAccounts.Line line) {
        return new UsageEntry(
                line.key().caller().value(),
                line.key().callerClass().value(),
                line.key().service().value(),
                line.slotsHeld(),
                line.amount().slotMillis() / MILLIS_PER_SECOND,
                line.amount().pieceMillis() / MILLIS_PER_SECOND,
                line.amount().prefillTokens(),
                line.amount().linkBytes(),
                line.maxError());
    }

    private static RefusalEntry refused(RefusalAccounts.Line line) {
        return new RefusalEntry(
                line.refused().key().caller().value(),
                line.refused().key().callerClass().value(),
                line.refused().reason().code(),
                line.count(),
                line.missed());
    }
}
