package org.mangoridge.dispatch.request;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mangoridge.core.verdict.Verdict;

import static com.google.common.truth.Truth.assertThat;

class RetryDecisionTest {

    @ParameterizedTest
    @CsvSource({
        "AT_MOST_ONCE, NOT_RUN, 0, 1, 1, true",
        "AT_MOST_ONCE, MAY_HAVE_RUN, 1, 1, 2, false",
        "AT_MOST_ONCE, RAN, 1, 1, 2, false",
        "AT_MOST_ONCE, NOT_RUN, 0, 3, 1, false",
        "IDEMPOTENT, MAY_HAVE_RUN, 1, 1, 2, true",
        "IDEMPOTENT, RAN, 1, 1, 1, false",
        "IDEMPOTENT, RAN, 2, 2, 2, false",
        "IDEMPOTENT, NOT_RUN, 1, 2, 2, true",
        "RESUMABLE, RAN, 1, 1, 2, true",
        "RESUMABLE, RAN, 1, 1, 1, false"
    })
    void retriesOnlyWhereSafe(RetryPolicy policy, Verdict last, int runs, int sends, int maxRuns, boolean expected) {
        assertThat(RetryDecision.mayRetry(policy, last, runs, sends, maxRuns)).isEqualTo(expected);
    }
}
