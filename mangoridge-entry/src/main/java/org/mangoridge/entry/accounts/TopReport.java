package org.mangoridge.entry.accounts;

import java.util.List;

import org.mangoridge.core.id.ServiceId;
import org.mangoridge.routing.accounting.RefusalAccounts;
import org.mangoridge.routing.accounting.ServerAccounts;

/**
 * The usage of a server by caller and the refusals of its service during the same period, as recorded by one instance.
 *
 * @param server the server
 * @param service the service of the server
 * @param periodSeconds the maximum time that the report covers, in seconds
 * @param used the usage by caller, the greatest first
 * @param missedMillis the maximum usage of a caller that is not listed, in milliseconds of slots or of prefill
 * @param refused the refused requests of the service, the greatest count first
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
     * The usage of one caller.
     *
     * @param caller the caller
     * @param callerClass the class of the caller
     * @param service the requested service
     * @param slotsHeld the number of slots held now
     * @param slotSeconds the slots held, integrated over time, in slot seconds
     * @param pieceSeconds the memory pieces held, integrated over time, in piece seconds
     * @param prefillTokens the number of computed prompt tokens
     * @param linkBytes the bytes of KV cache fetched over the link of the server
     * @param missedMillis the maximum usage that this entry may lack, in milliseconds of slots or of prefill
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
     * The refused requests of one caller for one reason.
     *
     * @param caller the caller
     * @param callerClass the class of the caller
     * @param reason the code of the refusal reason
     * @param count an upper bound of the number of requests
     * @param missed the part of the count that may belong to other callers or reasons
     */
    public record RefusalEntry(String caller, String callerClass, String reason, long count, long missed) {}

    /** Returns the report for JSON output. */
    static TopReport of(ServiceId service, ServerAccounts.Report report, List<RefusalAccounts.Line> refusals) {
        return new TopReport(
                report.server().value(),
                service.value(),
                report.period().toSeconds(),
                report.lines().stream().map(TopReport::usageEntry).toList(),
                report.maxUnlistedWeight(),
                refusals.stream().map(TopReport::refusalEntry).toList());
    }

    private static UsageEntry usageEntry(ServerAccounts.Line line) {
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

    private static RefusalEntry refusalEntry(RefusalAccounts.Line line) {
        return new RefusalEntry(
                line.refused().key().caller().value(),
                line.refused().key().callerClass().value(),
                line.refused().reason().code(),
                line.count(),
                line.missed());
    }
}
