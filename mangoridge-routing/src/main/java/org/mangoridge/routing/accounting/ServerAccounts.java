package org.mangoridge.routing.accounting;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.ServerId;

/**
 * Whose requests used each server during the last intervals, and who holds slots now; used by one thread.
 *
 * <p>Bounded for each server and interval; past the bound the lightest callers are dropped, and what was missed is
 * stated.
 */
public final class ServerAccounts {

    private static final int MAX_SERVERS = 1024;
    private static final int MAX_HOLDS = 65_536;
    private static final long PREFILL_TOKENS_PER_SLOT_MILLI = 20;

    /**
     * One line of a server's use.
     *
     * @param key whose use it is
     * @param amount how much
     * @param slotsHeld the slots that it holds now
     * @param maxError how much weight may have been missed
     */
    public record Line(UsageKey key, ServerUsage amount, int slotsHeld, long maxError) {}

    /**
     * The use of a server.
     *
     * @param server the server
     * @param period the time that the report covers at most
     * @param lines the greatest use first
     * @param maxUnlistedWeight the most weight that a caller without a line can have: milliseconds of slots, and of
     *     prefill at 20 tokens each
     */
    public record Report(ServerId server, Duration period, List<Line> lines, long maxUnlistedWeight) {}

    private record Hold(ServerId server, UsageKey key, int pieces, Duration since) {}

    private final Map<ServerId, IntervalSummaries<UsageKey, ServerUsage>> servers = new HashMap<>();
    private final Map<AttemptId, Hold> holds = new HashMap<>();

    private ServerAccounts() {}

    /** Returns accounts without use. */
    public static ServerAccounts create() {
        return new ServerAccounts();
    }

    /** Notes that an attempt holds a slot and memory pieces from now on. */
    public void slotHeld(AttemptId attempt, ServerId server, UsageKey key, int pieces, Duration now) {
        if (holds.size() < MAX_HOLDS) {
            holds.putIfAbsent(attempt, new Hold(server, key, pieces, now));
        }
    }

    /** Notes that an attempt holds its slot no longer; idempotent. */
    public void slotReleased(AttemptId attempt, Duration now) {
        Hold hold = holds.remove(attempt);
        if (hold != null) {
            add(hold.server(), hold.key(), heldAmount(hold, now), now);
        }
    }

    /** Notes computed prompt tokens. */
    public void prefilled(ServerId server, UsageKey key, long tokens, Duration now) {
        add(server, key, new ServerUsage(0, 0, tokens, 0), now);
    }

    /** Notes bytes fetched over a server's link. */
    public void transferred(ServerId server, UsageKey key, long bytes, Duration now) {
        add(server, key, new ServerUsage(0, 0, 0, bytes), now);
    }

    /** Returns whose requests used a server, holds that have not ended included. */
    public Report report(ServerId server, Duration now) {
        Map<UsageKey, Line> lines = new HashMap<>();
        IntervalSummaries<UsageKey, ServerUsage> past = servers.get(server);
        if (past != null) {
            past.entries(now)
                    .forEach(entry ->
                            lines.put(entry.key(), new Line(entry.key(), entry.amount(), 0, entry.maxError())));
        }
        holds.values().stream()
                .filter(hold -> hold.server().equals(server))
                .forEach(hold -> lines.merge(
                        hold.key(), new Line(hold.key(), heldAmount(hold, now), 1, 0), ServerAccounts::sum));
        List<Line> sorted = new ArrayList<>(lines.values());
        sorted.sort((one, two) -> Long.compare(weight(two.amount()), weight(one.amount())));
        Duration period = IntervalSummaries.INTERVAL.multipliedBy(IntervalSummaries.INTERVALS_KEPT);
        return new Report(server, period, sorted, past == null ? 0 : past.maxUnlistedWeight(now));
    }

    private void add(ServerId server, UsageKey key, ServerUsage amount, Duration now) {
        IntervalSummaries<UsageKey, ServerUsage> summaries = servers.get(server);
        if (summaries == null) {
            if (servers.size() >= MAX_SERVERS) {
                servers.values().removeIf(candidate -> candidate.isEmpty(now));
            }
            if (servers.size() >= MAX_SERVERS) {
                return;
            }
            summaries = new IntervalSummaries<>(ServerUsage::plus);
            servers.put(server, summaries);
        }
        summaries.add(key, weight(amount), amount, now);
    }

    private static Line sum(Line one, Line two) {
        return new Line(
                one.key(),
                one.amount().plus(two.amount()),
                one.slotsHeld() + two.slotsHeld(),
                one.maxError() + two.maxError());
    }

    private static ServerUsage heldAmount(Hold hold, Duration now) {
        long millis = Math.max(0, now.minus(hold.since()).toMillis());
        return new ServerUsage(millis, millis * hold.pieces(), 0, 0);
    }

    private static long weight(ServerUsage amount) {
        return amount.slotMillis() + amount.prefillTokens() / PREFILL_TOKENS_PER_SLOT_MILLI;
    }
}
