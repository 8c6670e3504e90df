package org.mangoridge.bench.measure;

import java.util.LinkedHashMap;
import java.util.Map;

import org.mangoridge.standin.engine.EngineCounts;

/**
 * What came of all requests under one policy.
 *
 * @param classes the sums of each class by its name
 * @param groups the sums of each phase of the scenario, or of the caller of a burst and the others; without a bound
 * @param engines what the engines truly did
 * @param memoryFreed for each instance that was killed, how long engines went on to hold something for it
 * @param sentLate how late the generator sent requests
 * @param coresUsed the processor time that the whole process spent a second
 */
public record PolicyResult(
        Map<String, ClassResult> classes,
        Map<String, ClassResult> groups,
        EngineCounts engines,
        Delays memoryFreed,
        Delays sentLate,
        double coresUsed) {

    /** Returns the results of two segments together. */
    public PolicyResult plus(PolicyResult other) {
        return new PolicyResult(
                sums(classes, other.classes),
                sums(groups, other.groups),
                engines.plus(other.engines),
                memoryFreed.plus(other.memoryFreed),
                sentLate.plus(other.sentLate),
                Math.max(coresUsed, other.coresUsed));
    }

    private static Map<String, ClassResult> sums(Map<String, ClassResult> one, Map<String, ClassResult> other) {
        Map<String, ClassResult> sums = new LinkedHashMap<>(one);
        other.forEach((name, result) -> sums.merge(name, result, ClassResult::plus));
        return sums;
    }

    /** Returns the share of prefill work whose result was never used. */
    public double wastedPrefillShare() {
        return engines.prefillTokens() == 0 ? 0 : (double) engines.wastedPrefillTokens() / engines.prefillTokens();
    }
}
