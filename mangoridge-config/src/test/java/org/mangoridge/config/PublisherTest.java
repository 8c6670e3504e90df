package org.mangoridge.config;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mangoridge.config.audit.AuditTrail;
import org.mangoridge.config.audit.ChainedEntry;
import org.mangoridge.config.audit.ChangeTrail;
import org.mangoridge.config.audit.KeyChange;
import org.mangoridge.standin.platform.LocalObjectStore;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class PublisherTest {

    private static final PublishedConfig NONE = PublishedConfig.initial();

    private final LocalObjectStore store = LocalObjectStore.create();
    private final Publisher publisher = SampleConfigs.publisher(store);

    @Test
    void publishesTwoThousandEightHundredWorkspacesInOneStepAndThenOnlyWhatChanged() {
        ApplyOutcome outcome =
                publisher.apply(SampleConfigs.request("a1", "ann", SampleConfigs.sections(2800, 1)), NONE);
        assertThat(outcome).isInstanceOf(ApplyOutcome.Accepted.class);
        PublishedConfig first = SampleConfigs.stored(store);
        publisher.apply(SampleConfigs.request("a2", "ann", SampleConfigs.sections(2800, 2)), NONE);
        PublishedConfig second = SampleConfigs.stored(store);
        assertThat(second.text()).contains("share = 2");
        assertThat(second.contentsMissingFrom(first.manifest())).hasSize(1);
        assertThat(second.generation().value()).isEqualTo(2);
    }

    @Test
    void overtakenOperatorSeesWhatChangedAndByWhomAndNothingIsLost() {
        publisher.apply(SampleConfigs.request("a1", "ann", SampleConfigs.sections(3, 1)), NONE);
        publisher.apply(SampleConfigs.request("b1", "bob", SampleConfigs.sections(3, 5)), NONE);
        ApplyRequest late =
                new ApplyRequest(ApplyId.of("a2"), "ann", "test", Optional.of(1L), SampleConfigs.sections(2, 1));
        ApplyOutcome.Overtaken outcome = (ApplyOutcome.Overtaken) publisher.apply(late, NONE);
        assertThat(outcome.since()).hasSize(1);
        ConcurrentChange change = outcome.since().get(0);
        assertThat(change.operator()).isEqualTo("bob");
        assertThat(change.changes())
                .containsExactly(new KeyChange("class counter", "share", "1", "5", "sample.ini", 4));
        assertThat(SampleConfigs.stored(store).text()).contains("share = 5");
        assertThat(publisher.outcomeOf(ApplyId.of("a2"))).isInstanceOf(ApplyOutcome.Refused.class);
    }

    @Test
    void headWriteWhoseAnswerIsLostIsAccepted() {
        HeadWriteFaultStore faulty = new HeadWriteFaultStore(store);
        faulty.loseAnswerOfNext();
        ApplyOutcome outcome = SampleConfigs.publisher(faulty)
                .apply(SampleConfigs.request("a1", "ann", SampleConfigs.sections(1, 1)), NONE);
        assertThat(outcome).isInstanceOf(ApplyOutcome.Accepted.class);
        assertThat(publisher.outcomeOf(ApplyId.of("a1"))).isEqualTo(new ApplyOutcome.Accepted("a1", 1, List.of()));
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4})
    void delayedHeadWriteIsUnknownUntilAskedAndNeverArrivesAfterRefused(int staleReads) {
        publisher.apply(SampleConfigs.request("a1", "ann", SampleConfigs.sections(1, 1)), NONE);
        HeadWriteFaultStore faulty = new HeadWriteFaultStore(store);
        faulty.delayNextAndThenCutOff();
        ApplyOutcome outcome = SampleConfigs.publisher(faulty)
                .apply(SampleConfigs.request("a2", "ann", SampleConfigs.sections(1, 2)), NONE);
        assertThat(outcome).isInstanceOf(ApplyOutcome.Unknown.class);
        store.faults().staleReads(staleReads);
        assertThat(publisher.outcomeOf(ApplyId.of("a2"))).isInstanceOf(ApplyOutcome.Refused.class);
        store.faults().staleReads(0);
        store.releaseWrites();
        assertThat(SampleConfigs.stored(store).text()).contains("share = 1");
        assertThat(publisher.outcomeOf(ApplyId.of("a2"))).isInstanceOf(ApplyOutcome.Refused.class);
    }

    @Test
    void delayedHeadWriteThatArrivesBeforeTheQuestionIsAccepted() {
        publisher.apply(SampleConfigs.request("a1", "ann", SampleConfigs.sections(1, 1)), NONE);
        HeadWriteFaultStore faulty = new HeadWriteFaultStore(store);
        faulty.delayNextAndThenCutOff();
        SampleConfigs.publisher(faulty).apply(SampleConfigs.request("a2", "ann", SampleConfigs.sections(1, 2)), NONE);
        store.releaseWrites();
        publisher.apply(SampleConfigs.request("b1", "bob", SampleConfigs.sections(2, 2)), NONE);
        assertThat(publisher.outcomeOf(ApplyId.of("a2"))).isEqualTo(new ApplyOutcome.Accepted("a2", 2, List.of()));
    }

    @Test
    void outageDuringApplySaysThatNothingWasPublishedOrUnknown() {
        store.faults().outage(true);
        ApplyOutcome outcome = publisher.apply(SampleConfigs.request("a1", "ann", SampleConfigs.sections(1, 1)), NONE);
        assertThat(outcome).isInstanceOf(ApplyOutcome.Refused.class);
        assertThat(publisher.outcomeOf(ApplyId.of("a1"))).isInstanceOf(ApplyOutcome.Unknown.class);
        store.faults().outage(false);
        assertThat(publisher.outcomeOf(ApplyId.of("a1"))).isInstanceOf(ApplyOutcome.Refused.class);
        assertThat(publisher.apply(SampleConfigs.request("a1", "ann", SampleConfigs.sections(1, 1)), NONE))
                .isInstanceOf(ApplyOutcome.Accepted.class);
    }

    @Test
    void restoredStoreGetsTheNewestGenerationBackBeforeTheNextIsPublished() {
        publisher.apply(SampleConfigs.request("a1", "ann", SampleConfigs.sections(1, 1)), NONE);
        store.saveCopy();
        publisher.apply(SampleConfigs.request("a2", "ann", SampleConfigs.sections(1, 2)), NONE);
        PublishedConfig known = SampleConfigs.stored(store);
        store.restoreCopy();
        ApplyOutcome outcome = publisher.apply(SampleConfigs.request("a3", "ann", SampleConfigs.sections(1, 3)), known);
        assertThat(((ApplyOutcome.Accepted) outcome).generation()).isEqualTo(3);
        assertThat(publisher.outcomeOf(ApplyId.of("a2"))).isInstanceOf(ApplyOutcome.Accepted.class);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void anAnswerIsNeverAWrongWordUnderTwoFaultsAtOnce(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < 40; i++) {
            cause(random.nextInt(5), random);
            cause(random.nextInt(5), random);
            String id = "s" + i;
            int share = 1 + i;
            HeadWriteFaultStore faulty = new HeadWriteFaultStore(store);
            if (random.nextInt(4) == 0) {
                faulty.delayNextAndThenCutOff();
            }
            ApplyOutcome outcome = SampleConfigs.publisher(faulty)
                    .apply(SampleConfigs.request(id, "ann", SampleConfigs.sections(1, share)), NONE);
            store.faults().outage(false);
            if (random.nextBoolean()) {
                store.releaseWrites();
            }
            ApplyOutcome later = publisher.outcomeOf(ApplyId.of(id));
            store.releaseWrites();
            store.faults().staleReads(0);
            check(seed, i, outcome, later, SampleConfigs.stored(store).manifest());
        }
        store.faults().loseAnswers(0);
        store.faults().delayWrites(0);
        assertWithMessage("seed %s", seed).that(trail().problems()).isEmpty();
    }

    private void cause(int fault, SplittableRandom random) {
        switch (fault) {
            case 0 -> store.faults().loseAnswers(random.nextInt(1, 6));
            case 1 -> store.faults().delayWrites(random.nextInt(1, 6));
            case 2 -> store.faults().staleReads(random.nextInt(1, 6));
            case 3 -> store.faults().outage(true);
            default -> {
                // no fault this time
            }
        }
    }

    private static void check(long seed, int step, ApplyOutcome outcome, ApplyOutcome later, Manifest now) {
        String id = "s" + step;
        boolean published = now.recent().contains(id);
        for (ApplyOutcome word : List.of(outcome, later)) {
            if (word instanceof ApplyOutcome.Accepted) {
                assertWithMessage("seed %s step %s %s", seed, step, word)
                        .that(published)
                        .isTrue();
            }
            if (word instanceof ApplyOutcome.Refused || word instanceof ApplyOutcome.Overtaken) {
                assertWithMessage("seed %s step %s %s", seed, step, word)
                        .that(published)
                        .isFalse();
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"key-hash, (hidden)", "class, counter"})
    void secretsAreHiddenInTheTrail(String key, String shown) {
        publisher.apply(SampleConfigs.request("a1", "ann", SampleConfigs.sections(1, 1)), NONE);
        ChainedEntry entry = trail().entries().get(0);
        List<KeyChange> changes =
                ChangeTrail.create(store).readKeyChanges(entry).value();
        assertThat(changes.stream()
                        .filter(change -> change.key().equals(key))
                        .map(KeyChange::newValue)
                        .toList())
                .containsExactly(shown);
        assertThat(entry.entry().who()).isEqualTo("ann");
    }

    @Test
    void refusedApplyIsInTheTrailOfRefusals() {
        publisher.apply(SampleConfigs.request("a1", "ann", SampleConfigs.sections(1, 5000)), NONE);
        AuditTrail refusals = AuditTrail.read(store, "refusals").value();
        assertThat(refusals.entries()).hasSize(1);
        assertThat(refusals.entries().get(0).entry().outcome()).contains("sample.ini:4");
        assertThat(refusals.problems()).isEmpty();
    }

    private AuditTrail trail() {
        Manifest manifest = SampleConfigs.stored(store).manifest();
        return AuditTrail.readChanges(store, manifest.applyId(), manifest.generation(), manifest.entryHash())
                .value();
    }
}
