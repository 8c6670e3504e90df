package org.mangoridge.routing.accounting;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.UnaryOperator;

import org.mangoridge.core.id.CallerId;

/** The use of each caller of the configuration; used by one thread. */
public final class CallerAccounts {

    private final Map<CallerId, CallerUsage> uses = new HashMap<>();

    private CallerAccounts() {}

    /** Returns accounts without use. */
    public static CallerAccounts create() {
        return new CallerAccounts();
    }

    /** Changes the use of {@code caller}, which the configuration names, so that the accounts stay bounded. */
    public void update(CallerId caller, UnaryOperator<CallerUsage> change) {
        uses.put(caller, change.apply(uses.getOrDefault(caller, CallerUsage.empty(caller))));
    }

    /** Returns the use of every caller that sent something, in the order of their names. */
    public List<CallerUsage> usages() {
        List<CallerUsage> list = new ArrayList<>(uses.values());
        list.sort(Comparator.comparing(CallerUsage::caller));
        return list;
    }
}
