package org.mangoridge.routing.accounting;

import org.mangoridge.core.id.CallerId;

/**
 * What one caller's requests came to.
 *
 * @param caller the caller
 * @param served requests answered whole
 * @param refused requests refused
 * @param abandoned requests whose caller went
 * @param promptTokens prompt tokens of served requests
 * @param outputTokens tokens generated
 */
public record CallerUsage(
        CallerId caller, long served, long refused, long abandoned, long promptTokens, long outputTokens) {

    /** Returns the use of a caller that has sent nothing. */
    public static CallerUsage empty(CallerId caller) {
        return new CallerUsage(caller, 0, 0, 0, 0, 0);
    }

    /** Returns this use with one more request served. */
    public CallerUsage plusServed(int prompt, int output) {
        return new CallerUsage(caller, served + 1, refused, abandoned, promptTokens + prompt, outputTokens + output);
    }

    /** Returns this use with one more request refused. */
    public CallerUsage plusRefused() {
        return new CallerUsage(caller, served, refused + 1, abandoned, promptTokens, outputTokens);
    }

    /** Returns this use with one more request whose caller went. */
    public CallerUsage plusAbandoned(int output) {
        return new CallerUsage(caller, served, refused, abandoned + 1, promptTokens, outputTokens + output);
    }
}
