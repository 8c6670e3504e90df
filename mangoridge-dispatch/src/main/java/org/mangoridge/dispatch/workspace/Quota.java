package org.mangoridge.dispatch.workspace;

import java.util.OptionalLong;

import org.mangoridge.core.Checks;

/**
 * What the requests of one workspace may use at all instances together: a rate and a burst beyond it.
 *
 * @param unit what is counted
 * @param perSecond the units per second
 * @param burst the units that may be used at once after a time of less use
 * @param unitsPerPlainRequest the units of a request that states no tokens
 */
public record Quota(Unit unit, double perSecond, double burst, int unitsPerPlainRequest) {

    /** What a quota counts. */
    public enum Unit {
        /** Each request counts as one. */
        REQUESTS,
        /** A request counts as its prompt and the output that it may generate. */
        TOKENS
    }

    public Quota {
        Checks.notNull(unit, "unit");
        Checks.argument(
                perSecond > 0 && Double.isFinite(perSecond), "a quota must have a positive rate: %s", perSecond);
        Checks.argument(burst >= 0 && Double.isFinite(burst), "a burst must not be negative: %s", burst);
        Checks.argument(
                unitsPerPlainRequest >= 0, "a plain request must not count negatively: %d", unitsPerPlainRequest);
    }

    /**
     * Returns the units of a request.
     *
     * @param statedTokens the tokens of its prompt and of the output that it may generate; empty if it states none
     */
    public long unitsOf(OptionalLong statedTokens) {
        return switch (unit) {
            case REQUESTS -> 1;
            case TOKENS -> statedTokens.orElse(unitsPerPlainRequest);
        };
    }
}
