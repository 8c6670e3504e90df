package org.mangoridge.gateway.net;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/**
 * Counts answers and bytes of servers that do not belong to the call in progress.
 *
 * @param unnamed answers that name no request, to calls that do
 * @param foreign answers that name another request than their call, or one where the call names none
 * @param invalidHead answers that failed their call, since they begin with no valid head
 * @param surplus connections closed for bytes that arrived while no call was in progress
 */
record AnswerCounters(Counter unnamed, Counter foreign, Counter invalidHead, Counter surplus) {

    static AnswerCounters of(MetricRegistry registry) {
        return new AnswerCounters(
                registry.counter("answers.unnamed"),
                registry.counter("answers.foreign"),
                registry.counter("answers.invalid_head"),
                registry.counter("connections.surplus"));
    }
}
