package org.mangoridge.dispatch.quarantine;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.dispatch.directory.ServerRun;
import org.mangoridge.dispatch.request.RequestPart;

import static com.google.common.truth.Truth.assertThat;

class RequestQuarantineTest {

    private static final Duration NOW = Duration.ofMinutes(1);

    private final RequestQuarantine quarantine = RequestQuarantine.create();
    private int runs;

    /** Returns the prompt whose parts are written with blanks between them. */
    private static RequestParts prompt(String parts) {
        return new RequestParts(
                Arrays.stream(parts.trim().split(" +")).map(RequestPart::of).toList());
    }

    private static List<RequestParts> prompts(String text) {
        return Arrays.stream(text.split("/")).map(RequestQuarantineTest::prompt).toList();
    }

    private ServerRun nextRun() {
        return new ServerRun(ServerId.of("s-" + ++runs), runs);
    }

    private void crash(String prompts) {
        quarantine.recordCrash(nextRun(), prompts(prompts), NOW);
    }

    private static String quarantined(RequestQuarantine of) {
        return of.quarantined().stream().map(RequestPart::value).sorted().collect(Collectors.joining(" "));
    }

    /** Crashes are separated by commas, the prompts that one implicates by slashes. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "two crashes can be a coincidence             | f b, f b                        | ''",
                "the deepest of parts that occur together     | f b, f b, f b                   | b",
                "the part that the crashes have in common     | f b x, g b y, h b z             | b",
                "a first part before different ones           | f x, f y, f z                   | f",
                "two parts at once                            | f b, f c, f b, f c, f b, f c    | b c",
                "two parts, too few crashes of each           | f b, f c, f b, f c              | ''",
                "prompts that were there by accident          | f b/g i, f b/g j, f b/h i       | b",
                "no part in common                            | f b, g c, h d                   | ''",
                "one request, not the part that it shares     | f u:1, f u:1, f u:1             | u:1",
                "different requests with one part             | f u:1, f u:2, f u:3             | f",
                "a plain request among others                 | u:1/u:2, u:1/u:3, u:4/u:1       | u:1",
                "a request and a part at once                 | f u:1, g v:1, f u:1, g v:2, f u:1, g v:3 | g u:1",
                "several requests with one part that is sound | f u:1, f u:2, f u:1, f u:2, f u:1, f u:2 | u:1 u:2"
            })
    void thePartThatExplainsTheCrashesIsFound(String description, String crashes, String expected) {
        Arrays.stream(crashes.split(",")).forEach(this::crash);
        assertThat(quarantined(quarantine)).isEqualTo(expected);
    }

    @Test
    void promptsWithAQuarantinedPartAreFound() {
        Arrays.asList("f b", "f b", "f b").forEach(this::crash);
        assertThat(quarantine.find(prompt("g b x"))).hasValue(RequestPart.of("b"));
        assertThat(quarantine.find(prompt("f x")).isPresent()).isFalse();
        assertThat(quarantine.find(new RequestParts(List.of())).isPresent()).isFalse();
    }

    /** Several connections break at one crash, which must not count as several. */
    @Test
    void aCrashCountsOnce() {
        ServerRun run = nextRun();
        for (int i = 0; i < 5; i++) {
            quarantine.recordCrash(run, prompts("f b"), NOW);
        }
        assertThat(quarantined(quarantine)).isEmpty();
    }

    /** A part that most requests share is present at every crash, whatever its reason. */
    @Test
    void soundAnswersOutweighCrashes() {
        for (int i = 0; i < 5; i++) {
            quarantine.recordSoundAnswer(prompt("f x"), NOW);
        }
        Arrays.asList("f x", "f y", "f z", "f u", "f v").forEach(this::crash);
        assertThat(quarantined(quarantine)).isEmpty();
    }

    @Test
    void soundAnswersEndAQuarantine() {
        Arrays.asList("f x", "f y", "f z").forEach(this::crash);
        assertThat(quarantined(quarantine)).isEqualTo("f");
        quarantine.recordSoundAnswer(prompt("f u"), NOW);
        assertThat(quarantined(quarantine)).isEmpty();
    }

    @Test
    void crashesAreForgotten() {
        Arrays.asList("f b", "f b", "f b").forEach(this::crash);
        quarantine.expire(NOW.plus(RequestQuarantine.RETENTION).minusMillis(1));
        assertThat(quarantined(quarantine)).isEqualTo("b");
        quarantine.expire(NOW.plus(RequestQuarantine.RETENTION));
        assertThat(quarantined(quarantine)).isEmpty();
    }

    /** Prompts may differ where path, caller and body are the same, so that the request is no cause of its own. */
    @Test
    void aRequestThatServersAnswerDoesNotHideAPart() {
        Arrays.asList("f b u:1", "f b u:1").forEach(this::crash);
        quarantine.recordSoundAnswer(prompt("f x u:1"), NOW);
        quarantine.recordSoundAnswer(prompt("f x u:1"), NOW);
        Arrays.asList("f b u:1", "f b u:1").forEach(this::crash);
        assertThat(quarantined(quarantine)).isEqualTo("b");
    }

    /** A caller who sends many different requests that crash servers must not push out the evidence of others. */
    @Test
    void aFloodOfOtherCrashesKeepsWhatRecurs() {
        crash("f u:1");
        crash("f u:1");
        for (int i = 0; i < 500; i++) {
            quarantine.recordCrash(nextRun(), prompts("g" + i + " x:" + i), NOW.plusMillis(i));
        }
        crash("f u:1");
        assertThat(quarantined(quarantine)).isEqualTo("u:1");
    }

    @Test
    void aCrashWithManyRequestsFitsIntoADatagram() {
        StringBuilder requests = new StringBuilder("f u:1");
        for (int i = 2; i < 200; i++) {
            requests.append("/f u:").append(i);
        }
        crash(requests.toString());
        int parts = quarantine.evidence(NOW).crashes().getFirst().requests().stream()
                .mapToInt(prompt -> prompt.parts().size())
                .sum();
        assertThat(parts).isAtMost(48);
    }

    @Test
    void onlyRequestsWithTheOutlineOfASuspectNeedTheirFingerprint() {
        assertThat(quarantine.suspects("a1")).isFalse();
        crash("f a1:hash/f a2:hash");
        assertThat(quarantine.suspects("a1")).isTrue();
        assertThat(quarantine.suspects("f")).isFalse();
        assertThat(quarantine.implicates(RequestPart.of("a1:hash"), NOW)).isTrue();
        assertThat(quarantine.implicates(RequestPart.of("a1:other"), NOW)).isFalse();
        quarantine.recordSoundAnswer(prompt("f a1:hash"), NOW);
        assertThat(quarantine.implicates(RequestPart.of("a1:hash"), NOW)).isFalse();
        quarantine.expire(NOW.plus(RequestQuarantine.RETENTION));
        assertThat(quarantine.suspects("a1")).isFalse();
    }

    /** A flood of crashes for other reasons must not push out the evidence against a quarantined part. */
    @Test
    void evidenceIsBounded() {
        Arrays.asList("f b", "f b", "f b").forEach(this::crash);
        for (int i = 0; i < 500; i++) {
            quarantine.recordCrash(nextRun(), prompts("g" + i + " x" + i), NOW.plusMillis(i));
        }
        assertThat(quarantined(quarantine)).isEqualTo("b");
        assertThat(quarantine.evidence(NOW.plusSeconds(1)).crashes().size()).isAtMost(64);
    }

    @Test
    void evidenceMergesInAnyOrderAndMoreThanOnce() {
        RequestQuarantine other = RequestQuarantine.create();
        ServerRun shared = nextRun();
        quarantine.recordCrash(shared, prompts("f b"), NOW);
        other.recordCrash(shared, prompts("g i"), NOW);
        crash("f b");
        other.recordCrash(nextRun(), prompts("f b"), NOW);
        assertThat(quarantine.merge(other.evidence(NOW), NOW)).isTrue();
        assertThat(quarantine.merge(other.evidence(NOW), NOW)).isFalse();
        assertThat(other.merge(quarantine.evidence(NOW), NOW)).isTrue();
        assertThat(quarantined(quarantine)).isEqualTo("b");
        assertThat(quarantined(other)).isEqualTo("b");
    }

    /** An instance that has seen no sound answer itself learns of those of the others. */
    @Test
    void soundAnswersOfOthersCount() {
        for (int i = 0; i < 3; i++) {
            quarantine.recordSoundAnswer(prompt("f"), NOW);
        }
        Arrays.asList("f x", "f y", "f z").forEach(this::crash);
        RequestQuarantine other = RequestQuarantine.create();
        other.merge(quarantine.evidence(NOW), NOW);
        assertThat(quarantined(other)).isEmpty();
    }
}
