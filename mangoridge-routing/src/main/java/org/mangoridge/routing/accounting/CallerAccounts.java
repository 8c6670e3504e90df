package org.mangoridge.routing.accounting;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;

import org.mangoridge.core.id.CallerId;

/** The usage of each caller of the configuration; not thread-safe. */
public final class CallerAccounts {

    private final Map<CallerId, CallerUsage> usages = new HashMap<>();

    private CallerAccounts() {}

    /** Returns empty accounts. */
    public static CallerAccounts create() {
        return new CallerAccounts();
    }

    /**
     * Applies {@code change} to the usage of {@code caller}. Only callers of the configuration may be passed, which bounds
     * the size of the accounts.
     */
    public void update(CallerId caller, UnaryOperator<CallerUsage> change) {
        usages.put(caller, change.apply(usages.getOrDefault(caller, CallerUsage.empty(caller))));
    }

    /** Returns the usage of every caller that sent requests, sorted by caller id. */
    public List<CallerUsage> usages() {
        List<CallerUsage> list = new ArrayList<>(usages.values());
        list.sort(Comparator.comparing(CallerUsage::caller));
        return list;
    }
}
