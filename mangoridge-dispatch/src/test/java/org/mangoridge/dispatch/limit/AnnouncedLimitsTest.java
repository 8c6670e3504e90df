package org.mangoridge.dispatch.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.dispatch.directory.ServerRun;

import static com.google.common.truth.Truth.assertThat;

class AnnouncedLimitsTest {

    private static final ServerRun RUN = new ServerRun(ServerId.of("s-1"), 17);
    private static final Duration START = Duration.ofSeconds(100);

    private final AnnouncedLimits limits = new AnnouncedLimits();

    private static Optional<RateLimit> limit(double rate) {
        return Optional.of(new RateLimit(rate));
    }

    private static LimitStatus status(long version, Optional<RateLimit> limit, int silenceMillis) {
        return new LimitStatus(RUN, version, limit, Duration.ofMillis(silenceMillis));
    }

    @Test
    void aLaterRunDoesNotInheritTheLimit() {
        limits.recordAnnounced(RUN, new RateLimit(5), START);
        assertThat(limits.limit(RUN)).isEqualTo(limit(5));
        assertThat(limits.limit(new ServerRun(RUN.server(), 18))).isEmpty();
    }

    /** Answers of one run may be long on their way, such as through a relay or to a suspended instance. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void statusesGiveTheSameLimitInAnyOrderAndTwice(long seed) {
        List<LimitStatus> told = new ArrayList<>(List.of(
                status(1, limit(5), 9000),
                status(2, limit(8), 100),
                status(2, limit(7), 400),
                status(3, limit(2), 0),
                status(3, limit(2), 5000),
                status(4, Optional.empty(), 4200),
                status(4, limit(3), 6000)));
        told.addAll(List.copyOf(told));
        Collections.shuffle(told, new Random(seed));
        told.forEach(each -> limits.merge(List.of(each), START));
        assertThat(limits.limit(RUN)).isEqualTo(limit(3));
        assertThat(limits.statuses(START)).hasSize(1);
    }

    @ParameterizedTest
    @CsvSource({
        // answers without a limit, seconds since the last announcement, ends
        "4, 4, true",
        "3, 60, false",
        "20, 3, false"
    })
    void aLimitEndsOnlyAfterSeveralAnswersAndSomeTime(int answers, int seconds, boolean ends) {
        limits.recordAnnounced(RUN, new RateLimit(5), START);
        Duration now = START.plusSeconds(seconds);
        boolean ended = false;
        for (int i = 0; i < answers; i++) {
            ended |= limits.recordNotAnnounced(RUN, START.plusMillis(1), now);
        }
        assertThat(ended).isEqualTo(ends);
        assertThat(limits.limit(RUN).isEmpty()).isEqualTo(ends);
    }

    @Test
    void anAnswerToARequestThatWasSentBeforeTheAnnouncementDoesNotEndTheLimit() {
        limits.recordAnnounced(RUN, new RateLimit(5), START);
        for (int i = 0; i < 20; i++) {
            limits.recordNotAnnounced(RUN, START.minusMillis(i), START.plusSeconds(10));
        }
        assertThat(limits.limit(RUN)).isEqualTo(limit(5));
    }

    @Test
    void anAnnouncementThatAPeerHeardKeepsTheLimit() {
        limits.recordAnnounced(RUN, new RateLimit(5), START);
        Duration now = START.plusSeconds(10);
        limits.merge(List.of(status(1, limit(5), 200)), now);
        for (int i = 0; i < 20; i++) {
            limits.recordNotAnnounced(RUN, now, now);
        }
        assertThat(limits.limit(RUN)).isEqualTo(limit(5));
    }

    @Test
    void aSuspendedInstanceDoesNotBringAnOldLimitBack() {
        AnnouncedLimits suspended = new AnnouncedLimits();
        limits.recordAnnounced(RUN, new RateLimit(5), START);
        suspended.merge(limits.statuses(START), START);
        limits.recordAnnounced(RUN, new RateLimit(2), START.plusSeconds(1));
        limits.recordAnnounced(RUN, new RateLimit(3), START.plusSeconds(2));
        assertThat(limits.merge(suspended.statuses(START), START.plusSeconds(30)))
                .isEmpty();
        assertThat(limits.limit(RUN)).isEqualTo(limit(3));
    }

    @Test
    void memoryIsBounded() {
        Set<ServerRun> all = new HashSet<>();
        for (int i = 0; i < 5000; i++) {
            ServerRun run = new ServerRun(ServerId.of("s-" + i), 1);
            all.add(run);
            limits.recordAnnounced(run, new RateLimit(1), START.plusMillis(i));
        }
        assertThat(limits.statuses(START)).hasSize(1024);
        limits.retain(Set.of(), START.plusSeconds(100));
        assertThat(limits.isEmpty()).isTrue();
    }
}
