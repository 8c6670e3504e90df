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

    private final Map<CallerId, CallerUse> uses = new HashMap<>();

    private CallerAccounts() {}

    /** Returns accounts without use. */
    public static CallerAccounts create() {
        return new CallerAccounts();
    }

    /** Changes the use of {@code caller}, which the configuration names, so that the accounts stay bounded. */
    public void record(CallerId caller, UnaryOperator<CallerUse> change) {
        uses.put(caller, change.apply(uses.getOrDefault(caller, CallerUse.none(caller))));
    }

    /** Returns the use of every caller that sent something, in the order of their names. */
    public List<CallerUse> uses() {
        List<CallerUse> list = new ArrayList<>(uses.values());
        list.sort(Comparator.comparing(CallerUse::caller));
        return list;
    }
}
