package org.mangoridge.standin.engine;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mangoridge.engine.EngineMessages;
import org.mangoridge.standin.engine.EngineCore.Reservation;
import org.mangoridge.standin.engine.HeldAttempts.Holder;

import static com.google.common.truth.Truth.assertThat;

class EngineCoreTest {

    /** Takes 100 ms to prefill at the standard rate. */
    private static final String PROMPT = "p".repeat(12_000);

    private static final int PROMPT_TOKENS = 3000;
    private static final int CACHED_TOKENS = 2816;

    private final EngineCore core = new EngineCore(EngineProfile.of("both", "m", "1"));

    @Test
    void prefillTakesTheTimeOfThePromptAndThenTheResultIsEvicted() {
        SerialWorker.Job job = prefill("r.1", PROMPT, 0, 0);
        core.advance(ms(99));
        assertThat(job.isOver()).isFalse();
        core.advance(ms(100));
        assertThat(job.state()).isEqualTo(SerialWorker.State.DONE);
        assertThat(held()).containsExactly("r.1 prefilled");
        assertThat(core.export("r.1", ms(1001))).isNull();
        assertThat(core.counts(ms(1001)).wastedPrefillTokens()).isEqualTo(PROMPT_TOKENS);
        assertThat(core.hasRun("r")).isTrue();
    }

    @Test
    void aCachedPrefixIsNotComputedAgain() {
        prefill("a.1", PROMPT, 0, 0);
        EngineCore.Prefill second =
                core.prefill(holder("b.1"), PROMPT, 0, ms(100)).orElseThrow();
        core.advance(ms(107));
        assertThat(second.job().state()).isEqualTo(SerialWorker.State.DONE);
        assertThat(second.cachedTokens()).isEqualTo(CACHED_TOKENS);
        assertThat(core.counts(ms(107)).prefillTokens()).isEqualTo(2 * PROMPT_TOKENS - CACHED_TOKENS);
    }

    @Test
    void greaterPriorityIsPrefilledFirst() {
        prefill("running.1", PROMPT, 0, 0);
        SerialWorker.Job low = prefill("low.1", PROMPT + "l", 0, 1);
        SerialWorker.Job high = prefill("high.1", "h" + PROMPT, 5, 2);
        core.advance(ms(201));
        assertThat(high.state()).isEqualTo(SerialWorker.State.DONE);
        assertThat(low.isOver()).isFalse();
        assertThat(core.hasRun("low")).isTrue();
    }

    @Test
    void aCancelledPrefillFreesTheUnitAndCountsWhatWasComputed() {
        SerialWorker.Job first = prefill("a.1", PROMPT, 0, 0);
        SerialWorker.Job second = prefill("b.1", "b" + PROMPT, 0, 0);
        assertThat(core.cancel("a.1", ms(50))).isTrue();
        assertThat(first.state()).isEqualTo(SerialWorker.State.CANCELLED);
        assertThat(core.counts(ms(50)).wastedPrefillTokens()).isEqualTo(PROMPT_TOKENS / 2);
        core.advance(ms(151));
        assertThat(second.state()).isEqualTo(SerialWorker.State.DONE);
        assertThat(core.prefill(holder("a.1"), PROMPT, 0, ms(151))).isEmpty();
    }

    @Test
    void aQueuedPrefillThatIsCancelledNeverRan() {
        prefill("a.1", PROMPT, 0, 0);
        prefill("b.1", PROMPT, 0, 0);
        core.cancel("b.1", ms(10));
        core.advance(ms(500));
        assertThat(core.hasRun("b")).isFalse();
    }

    @Test
    void holdsAsManySlotsAsThereAre() {
        for (int index = 0; index < 20; index++) {
            assertThat(reserve("r" + index + ".1", 100, 0)).isEqualTo(Reservation.HELD);
        }
        assertThat(reserve("more.1", 100, 0)).isEqualTo(Reservation.FULL);
        assertThat(core.cancel("r0.1", ms(1))).isTrue();
        assertThat(reserve("more.1", 100, 1)).isEqualTo(Reservation.HELD);
        assertThat(reserve("r0.1", 100, 1)).isEqualTo(Reservation.CANCELLED);
    }

    @Test
    void holdsAsMuchMemoryAsThereIs() {
        assertThat(reserve("a.1", 100 * 2048, 0)).isEqualTo(Reservation.HELD);
        assertThat(reserve("b.1", 60 * 2048 + 1, 0)).isEqualTo(Reservation.FULL);
        assertThat(reserve("b.1", 60 * 2048, 0)).isEqualTo(Reservation.HELD);
    }

    @Test
    void anUnusedReservationExpires() {
        reserve("a.1", 100, 0);
        core.advance(ms(1000));
        assertThat(core.holds("a.1")).isTrue();
        core.advance(ms(1001));
        assertThat(core.holds("a.1")).isFalse();
        assertThat(core.counts(ms(2000)).slotMillis()).isEqualTo(1001);
    }

    @Test
    void transfersShareTheLinkOneAfterTheOther() {
        SerialWorker.Job first = transfer("a.1", 8000);
        SerialWorker.Job second = transfer("b.1", 8000);
        core.advance(ms(100));
        assertThat(first.state()).isEqualTo(SerialWorker.State.DONE);
        assertThat(second.isOver()).isFalse();
        core.advance(ms(200));
        assertThat(second.state()).isEqualTo(SerialWorker.State.DONE);
    }

    @Test
    void aStalledLinkBringsNothingUntilItResumes() {
        SerialWorker.Job job = transfer("a.1", 8000);
        core.faults(EngineFaults.stalledLink(), ms(50));
        core.advance(ms(900));
        assertThat(job.isOver()).isFalse();
        core.faults(EngineFaults.none(), ms(900));
        core.advance(ms(949));
        assertThat(job.isOver()).isFalse();
        core.advance(ms(950));
        assertThat(job.state()).isEqualTo(SerialWorker.State.DONE);
    }

    @Test
    void importedWorkIsWastedUnlessATokenFollows() {
        transfer("a.1", 8000);
        transfer("b.1", 8000);
        core.advance(ms(200));
        core.endImport("a.1", true, ms(200));
        core.beginDecode("a.1", ms(200));
        assertThat(core.generateToken("a.1")).isTrue();
        core.cancel("a.1", ms(300));
        core.cancel("b.1", ms(300));
        assertThat(core.counts(ms(300)).wastedPrefillTokens()).isEqualTo(8000);
    }

    @ParameterizedTest
    @CsvSource({"1, false, 20700", "20, false, 34000", "20, true, 47600"})
    void tokensComeSlowerInAGreaterBatchAndBesidePrefill(int streams, boolean prefill, long expectedMicros) {
        for (int index = 0; index < streams; index++) {
            reserve("r" + index + ".1", 100, 0);
            core.beginDecode("r" + index + ".1", ms(0));
        }
        if (prefill) {
            prefill("p.1", PROMPT, 0, 0);
        }
        assertThat(core.tokenInterval(ms(0)).toNanos() / 1000).isEqualTo(expectedMicros);
    }

    @Test
    void aSlowEngineTakesLongerForEverything() {
        core.faults(EngineFaults.slow(3), ms(0));
        SerialWorker.Job job = prefill("a.1", PROMPT, 0, 0);
        core.advance(ms(299));
        assertThat(job.isOver()).isFalse();
        core.advance(ms(300));
        assertThat(job.isOver()).isTrue();
    }

    @Test
    void decodingWithoutATransferPrefillsHereFirst() {
        reserve("a.1", 4000, 0);
        EngineMessages.DecodeRequest request =
                new EngineMessages.DecodeRequest("a.1", "entry-1", 1, "m", "1", PROMPT, "", 0, 10, 0);
        EngineCore.Prefill prefill = core.prefillBeforeDecode(request, ms(0)).orElseThrow();
        core.advance(ms(100));
        assertThat(prefill.job().state()).isEqualTo(SerialWorker.State.DONE);
        assertThat(core.beginDecode("a.1", ms(100))).isTrue();
        assertThat(core.prefillBeforeDecode(request, ms(100))).isEmpty();
    }

    @Test
    void reportsOfLoadLag() {
        assertThat(core.load(ms(0)).slotsUsed()).isEqualTo(0);
        reserve("a.1", 100, 10);
        assertThat(core.load(ms(50)).slotsUsed()).isEqualTo(0);
        EngineMessages.LoadReport report = core.load(ms(160));
        assertThat(report.slotsUsed()).isEqualTo(1);
        assertThat(report.ageMillis()).isEqualTo(110);
        assertThat(report.attempts()).containsExactly("a.1");
    }

    @Test
    void cacheEventsComeLateAndWithGaps() {
        core.faults(new EngineFaults(false, false, false, 0, false, 4, 1, false), ms(0));
        prefill("a.1", PROMPT, 0, 0);
        core.advance(ms(100));
        assertThat(core.cacheEvents(0, ms(599))).isEmpty();
        List<Long> sequences = core.cacheEvents(2, ms(600)).stream()
                .map(EngineMessages.CacheEvent::sequence)
                .toList();
        assertThat(sequences).containsExactly(3L, 5L, 6L, 7L, 9L, 10L, 11L).inOrder();
    }

    @Test
    void theDeadForgetWhatTheyHeld() {
        reserve("a.1", 100, 0);
        SerialWorker.Job job = prefill("b.1", PROMPT, 0, 0);
        core.faults(EngineFaults.crash(), ms(10));
        assertThat(job.state()).isEqualTo(SerialWorker.State.CANCELLED);
        assertThat(core.holds("a.1")).isFalse();
        assertThat(held()).isEmpty();
    }

    @Test
    void onlyAttemptsOfASeveredInstanceAreDroppedAndOnlyForATime() {
        core.disconnect("entry-1", ms(1000));
        assertThat(core.isDisconnected("entry-1-77-5.1", ms(999))).isTrue();
        assertThat(core.isDisconnected("entry-11-77-5.1", ms(999))).isFalse();
        assertThat(core.isDisconnected("entry-1-77-5.1", ms(1001))).isFalse();
    }

    private SerialWorker.Job prefill(String attempt, String prompt, int priority, long atMillis) {
        return core.prefill(holder(attempt), prompt, priority, ms(atMillis))
                .orElseThrow()
                .job();
    }

    private SerialWorker.Job transfer(String attempt, int tokens) {
        reserve(attempt, tokens, 0);
        core.beginImport(attempt, ms(0));
        return core.transfer(attempt, tokens, tokens, ms(0)).orElseThrow();
    }

    private Reservation reserve(String attempt, int tokens, long atMillis) {
        return core.reserve(new EngineMessages.ReserveRequest(attempt, "entry-1", 1, tokens, 1000, 0), ms(atMillis));
    }

    private List<String> held() {
        return core.held("entry-1", ms(100)).stream()
                .map(held -> held.attempt() + " " + held.stage())
                .toList();
    }

    private static Holder holder(String attempt) {
        return new Holder(attempt, "entry-1", 1);
    }

    private static Duration ms(long millis) {
        return Duration.ofMillis(millis);
    }
}
