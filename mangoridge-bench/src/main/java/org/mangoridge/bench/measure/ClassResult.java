package org.mangoridge.bench.measure;

import java.util.List;
import java.util.function.Predicate;

import org.mangoridge.bench.load.Outcome;
import org.mangoridge.bench.load.Outcome.End;

/**
 * What came of the requests of one class under one policy.
 *
 * @param offered the requests that arrived in the measured interval
 * @param goodput those answered whole within both targets
 * @param bound the most that the capacity allows
 * @param refused those answered with an error
 * @param late all others
 * @param cut the late ones whose answer broke off or never came
 * @param wrong the late ones whose answer is not the whole one
 * @param falseNotRun the refused ones that are said not to have run, and ran
 * @param refusals the times from sending to refusal
 */
public record ClassResult(
        int offered,
        int goodput,
        int bound,
        int refused,
        int late,
        int cut,
        int wrong,
        int falseNotRun,
        Delays refusals) {

    /** Returns the sums of one interval. */
    public static ClassResult of(List<Outcome> outcomes, int bound, int falseNotRun) {
        int goodput = count(outcomes, Outcome::isGood);
        int refused = count(outcomes, outcome -> outcome.end() == End.REFUSED);
        return new ClassResult(
                outcomes.size(),
                goodput,
                bound,
                refused,
                outcomes.size() - goodput - refused,
                count(outcomes, outcome -> outcome.end() == End.CUT || outcome.end() == End.NO_ANSWER),
                count(outcomes, outcome -> outcome.end() == End.WRONG),
                falseNotRun,
                Delays.of(outcomes.stream()
                        .filter(outcome -> outcome.end() == End.REFUSED)
                        .map(outcome -> outcome.ended().minus(outcome.sentLate()))
                        .toList()));
    }

    /** Returns the sums of two intervals together. */
    public ClassResult plus(ClassResult other) {
        return new ClassResult(
                offered + other.offered,
                goodput + other.goodput,
                bound + other.bound,
                refused + other.refused,
                late + other.late,
                cut + other.cut,
                wrong + other.wrong,
                falseNotRun + other.falseNotRun,
                refusals.plus(other.refusals));
    }

    /** Returns goodput as a share of the bound, 1 if the bound is 0. */
    public double shareOfBound() {
        return bound == 0 ? 1 : (double) goodput / bound;
    }

    private static int count(List<Outcome> outcomes, Predicate<Outcome> condition) {
        return (int) outcomes.stream().filter(condition).count();
    }
}
