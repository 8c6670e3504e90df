package org.mangoridge.routing.accounting;

import org.mangoridge.core.id.CallerId;

/**
 * The requests and tokens of one caller.
 *
 * @param caller the caller
 * @param served requests answered completely
 * @param refused refused requests
 * @param abandoned requests whose caller disconnected
 * @param promptTokens prompt tokens of served requests
 * @param outputTokens generated tokens of served and abandoned requests
 */
public record CallerUsage(
        CallerId caller, long served, long refused, long abandoned, long promptTokens, long outputTokens) {

    /** Returns the usage of a caller that has sent no requests. */
    public static CallerUsage empty(CallerId caller) {
        return new CallerUsage(caller, 0, 0, 0, 0, 0);
    }

    /** Returns this usage with one more request served. */
    public CallerUsage plusServed(int prompt, int output) {
        return new CallerUsage(caller, served + 1, refused, abandoned, promptTokens + prompt, outputTokens + output);
    }

    /** Returns this usage with one more request refused. */
    public CallerUsage plusRefused() {
        return new CallerUsage(caller, served, refused + 1, abandoned, promptTokens, outputTokens);
    }

    /** Returns this usage with one more request whose caller disconnected. */
    public CallerUsage plusAbandoned(int output) {
        return new CallerUsage(caller, served, refused, abandoned + 1, promptTokens, outputTokens + output);
    }
}
