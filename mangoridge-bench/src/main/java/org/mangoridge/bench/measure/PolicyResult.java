package org.mangoridge.bench.measure;

import java.util.LinkedHashMap;
import java.util.Map;

import org.mangoridge.standin.engine.EngineCounts;

/**
 * What came of all requests under one policy.
 *
 * @param classes the sums of each class by its name
 * @param engines what the engines truly did
 * @param sentLate how late the generator sent requests
 * @param coresUsed the processor time that the whole process spent a second
 */
public record PolicyResult(Map<String, ClassResult> classes, EngineCounts engines, Delays sentLate, double coresUsed) {

    /** Returns the results of two segments together. */
    public PolicyResult plus(PolicyResult other) {
        Map<String, ClassResult> sums = new LinkedHashMap<>(classes);
        other.classes.forEach((name, result) -> sums.merge(name, result, ClassResult::plus));
        return new PolicyResult(
                sums, engines.plus(other.engines), sentLate.plus(other.sentLate), Math.max(coresUsed, other.coresUsed));
    }

    /** Returns the share of prefill work whose result was never used. */
    public double wastedPrefillShare() {
        return engines.prefillTokens() == 0 ? 0 : (double) engines.wastedPrefillTokens() / engines.prefillTokens();
    }
}
