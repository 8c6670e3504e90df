package org.mangoridge.routing;

import java.util.LinkedHashMap;
import java.util.Map;

import org.mangoridge.core.id.CallerId;

/** Forecasts output lengths from the average of each caller; bounded by evicting the least recently used callers. */
final class OutputLengths {

    private static final int MAX_CALLERS = 4096;
    private static final double WEIGHT_OF_NEWEST = 0.1;
    private static final double INITIAL_TOKENS = 128;

    private final Map<CallerId, MovingAverage> averages = new LinkedHashMap<>(16, 0.75f, true);

    /** Adds the length of a complete answer. */
    void learn(CallerId caller, int outputTokens) {
        averages.computeIfAbsent(caller, c -> new MovingAverage(INITIAL_TOKENS, WEIGHT_OF_NEWEST))
                .add(outputTokens);
        if (averages.size() > MAX_CALLERS) {
            averages.remove(averages.keySet().iterator().next());
        }
    }

    /** Returns the expected length of the answer to a request, in tokens. */
    double expectedTokens(RequestFacts facts) {
        MovingAverage average = averages.get(facts.caller().id());
        return Math.min(facts.maxTokens(), average == null ? INITIAL_TOKENS : average.value());
    }

    int size() {
        return averages.size();
    }
}
