package org.mangoridge.routing.accounting;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.ServerId;

/**
 * The usage of each server by caller, class and service during recent intervals, and the slots held now; not
 * thread-safe.
 *
 * <p>Each server and interval lists a bounded number of keys; the lightest keys are evicted, and reports state the
 * resulting error bounds.
 */
public final class ServerAccounts {

    private static final int MAX_SERVERS = 1024;
    private static final int MAX_HELD_SLOTS = 65_536;
    private static final long PREFILL_TOKENS_PER_SLOT_MILLISECOND = 20;

    /**
     * The usage of a server by one key.
     *
     * @param key the caller, class and service
     * @param amount the usage
     * @param slotsHeld the slots held now
     * @param maxError the maximum usage that may be missing from {@code amount}, in milliseconds of slots
     */
    public record Line(UsageKey key, ServerUsage amount, int slotsHeld, long maxError) {}

    /**
     * The usage of a server.
     *
     * @param server the server
     * @param period the maximum time that the report covers
     * @param lines the usage by key, the greatest first
     * @param maxUnlistedWeight the maximum weight of a key without a line, in milliseconds of slots; 20 prefill tokens
     *     count as one millisecond
     */
    public record Report(ServerId server, Duration period, List<Line> lines, long maxUnlistedWeight) {}

    private record HeldSlot(ServerId server, UsageKey key, int pieces, Duration heldSince) {}

    private final Map<ServerId, IntervalSummaries<UsageKey, ServerUsage>> servers = new HashMap<>();
    private final Map<AttemptId, HeldSlot> heldSlots = new HashMap<>();

    private ServerAccounts() {}

    /** Returns empty accounts. */
    public static ServerAccounts create() {
        return new ServerAccounts();
    }

    /** Records that an attempt holds a slot and memory pieces from now on. */
    public void slotHeld(AttemptId attempt, ServerId server, UsageKey key, int pieces, Duration now) {
        if (heldSlots.size() < MAX_HELD_SLOTS) {
            heldSlots.putIfAbsent(attempt, new HeldSlot(server, key, pieces, now));
        }
    }

    /** Records that an attempt has released its slot; idempotent. */
    public void slotReleased(AttemptId attempt, Duration now) {
        HeldSlot heldSlot = heldSlots.remove(attempt);
        if (heldSlot != null) {
            add(heldSlot.server(), heldSlot.key(), heldAmount(heldSlot, now), now);
        }
    }

    /** Records computed prompt tokens. */
    public void prefilled(ServerId server, UsageKey key, long tokens, Duration now) {
        add(server, key, new ServerUsage(0, 0, tokens, 0), now);
    }

    /** Records bytes fetched over a server's link. */
    public void transferred(ServerId server, UsageKey key, long bytes, Duration now) {
        add(server, key, new ServerUsage(0, 0, 0, bytes), now);
    }

    /** Returns the usage of a server, including that of slots which are still held. */
    public Report report(ServerId server, Duration now) {
        Map<UsageKey, Line> lines = new HashMap<>();
        IntervalSummaries<UsageKey, ServerUsage> past = servers.get(server);
        if (past != null) {
            past.entries(now)
                    .forEach(entry ->
                            lines.put(entry.key(), new Line(entry.key(), entry.amount(), 0, entry.maxError())));
        }
        heldSlots.values().stream()
                .filter(heldSlot -> heldSlot.server().equals(server))
                .forEach(heldSlot -> lines.merge(
                        heldSlot.key(),
                        new Line(heldSlot.key(), heldAmount(heldSlot, now), 1, 0),
                        ServerAccounts::sum));
        List<Line> sorted = new ArrayList<>(lines.values());
        sorted.sort((one, two) -> Long.compare(weight(two.amount()), weight(one.amount())));
        Duration period = IntervalSummaries.INTERVAL.multipliedBy(IntervalSummaries.MAX_INTERVALS);
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

    private static ServerUsage heldAmount(HeldSlot heldSlot, Duration now) {
        long millis = Math.max(0, now.minus(heldSlot.heldSince()).toMillis());
        return new ServerUsage(millis, millis * heldSlot.pieces(), 0, 0);
    }

    private static long weight(ServerUsage amount) {
        return amount.slotMillis() + amount.prefillTokens() / PREFILL_TOKENS_PER_SLOT_MILLISECOND;
    }
}
