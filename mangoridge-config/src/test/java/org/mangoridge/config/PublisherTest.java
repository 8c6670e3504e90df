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
import org.mangoridge.standin.platform.InMemoryObjectStore;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class PublisherTest {

    private static final PublishedConfig EMPTY = PublishedConfig.initial();

    private final InMemoryObjectStore store = InMemoryObjectStore.create();
    private final Publisher publisher = SampleConfigs.publisher(store);

    @Test
    void publishesLargeConfigurationAtomicallyAndThenOnlyChangedPieces() {
        ApplyOutcome outcome =
                publisher.apply(SampleConfigs.request("a1", "ann", SampleConfigs.sections(2800, 1)), EMPTY);
        assertThat(outcome).isInstanceOf(ApplyOutcome.Accepted.class);
        PublishedConfig first = SampleConfigs.stored(store);
        publisher.apply(SampleConfigs.request("a2", "ann", SampleConfigs.sections(2800, 2)), EMPTY);
        PublishedConfig second = SampleConfigs.stored(store);
        assertThat(second.text()).contains("share = 2");
        assertThat(second.contentsMissingFrom(first.manifest())).hasSize(1);
        assertThat(second.generation().value()).isEqualTo(2);
    }

    @Test
    void overtakenApplyReportsConcurrentChangesAndPublishesNothing() {
        publisher.apply(SampleConfigs.request("a1", "ann", SampleConfigs.sections(3, 1)), EMPTY);
        publisher.apply(SampleConfigs.request("b1", "bob", SampleConfigs.sections(3, 5)), EMPTY);
        ApplyRequest late =
                new ApplyRequest(ApplyId.of("a2"), "ann", "test", Optional.of(1L), SampleConfigs.sections(2, 1));
        ApplyOutcome.Overtaken outcome = (ApplyOutcome.Overtaken) publisher.apply(late, EMPTY);
        assertThat(outcome.since()).hasSize(1);
        ConcurrentChange change = outcome.since().get(0);
        assertThat(change.operator()).isEqualTo("bob");
        assertThat(change.changes())
                .containsExactly(new KeyChange("class counter", "share", "1", "5", "sample.ini", 4));
        assertThat(SampleConfigs.stored(store).text()).contains("share = 5");
        assertThat(publisher.outcomeOf(ApplyId.of("a2"))).isInstanceOf(ApplyOutcome.Refused.class);
    }

    @Test
    void lostResponseToHeadWriteIsResolvedAsAccepted() {
        HeadWriteFaultStore faultyStore = new HeadWriteFaultStore(store);
        faultyStore.loseNextResponse();
        ApplyOutcome outcome = SampleConfigs.publisher(faultyStore)
                .apply(SampleConfigs.request("a1", "ann", SampleConfigs.sections(1, 1)), EMPTY);
        assertThat(outcome).isInstanceOf(ApplyOutcome.Accepted.class);
        assertThat(publisher.outcomeOf(ApplyId.of("a1"))).isEqualTo(new ApplyOutcome.Accepted("a1", 1, List.of()));
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4})
    void delayedHeadWriteIsUnknownAndNeverTakesEffectAfterRefusal(int staleReads) {
        publisher.apply(SampleConfigs.request("a1", "ann", SampleConfigs.sections(1, 1)), EMPTY);
        HeadWriteFaultStore faultyStore = new HeadWriteFaultStore(store);
        faultyStore.delayNextThenDisconnect();
        ApplyOutcome outcome = SampleConfigs.publisher(faultyStore)
                .apply(SampleConfigs.request("a2", "ann", SampleConfigs.sections(1, 2)), EMPTY);
        assertThat(outcome).isInstanceOf(ApplyOutcome.Unknown.class);
        store.faults().staleReads(staleReads);
        assertThat(publisher.outcomeOf(ApplyId.of("a2"))).isInstanceOf(ApplyOutcome.Refused.class);
        store.faults().staleReads(0);
        store.releaseWrites();
        assertThat(SampleConfigs.stored(store).text()).contains("share = 1");
        assertThat(publisher.outcomeOf(ApplyId.of("a2"))).isInstanceOf(ApplyOutcome.Refused.class);
    }

    @Test
    void delayedHeadWriteThatArrivesBeforeTheQueryIsAccepted() {
        publisher.apply(SampleConfigs.request("a1", "ann", SampleConfigs.sections(1, 1)), EMPTY);
        HeadWriteFaultStore faultyStore = new HeadWriteFaultStore(store);
        faultyStore.delayNextThenDisconnect();
        SampleConfigs.publisher(faultyStore)
                .apply(SampleConfigs.request("a2", "ann", SampleConfigs.sections(1, 2)), EMPTY);
        store.releaseWrites();
        publisher.apply(SampleConfigs.request("b1", "bob", SampleConfigs.sections(2, 2)), EMPTY);
        assertThat(publisher.outcomeOf(ApplyId.of("a2"))).isEqualTo(new ApplyOutcome.Accepted("a2", 2, List.of()));
    }

    @Test
    void applyDuringOutageIsRefusedAndItsOutcomeIsUnknownUntilTheOutageEnds() {
        store.faults().outage(true);
        ApplyOutcome outcome = publisher.apply(SampleConfigs.request("a1", "ann", SampleConfigs.sections(1, 1)), EMPTY);
        assertThat(outcome).isInstanceOf(ApplyOutcome.Refused.class);
        assertThat(publisher.outcomeOf(ApplyId.of("a1"))).isInstanceOf(ApplyOutcome.Unknown.class);
        store.faults().outage(false);
        assertThat(publisher.outcomeOf(ApplyId.of("a1"))).isInstanceOf(ApplyOutcome.Refused.class);
        assertThat(publisher.apply(SampleConfigs.request("a1", "ann", SampleConfigs.sections(1, 1)), EMPTY))
                .isInstanceOf(ApplyOutcome.Accepted.class);
    }

    @Test
    void newestGenerationIsWrittenBackToRestoredStoreBeforeTheNextIsPublished() {
        publisher.apply(SampleConfigs.request("a1", "ann", SampleConfigs.sections(1, 1)), EMPTY);
        store.saveCopy();
        publisher.apply(SampleConfigs.request("a2", "ann", SampleConfigs.sections(1, 2)), EMPTY);
        PublishedConfig known = SampleConfigs.stored(store);
        store.restoreCopy();
        ApplyOutcome outcome = publisher.apply(SampleConfigs.request("a3", "ann", SampleConfigs.sections(1, 3)), known);
        assertThat(((ApplyOutcome.Accepted) outcome).generation()).isEqualTo(3);
        assertThat(publisher.outcomeOf(ApplyId.of("a2"))).isInstanceOf(ApplyOutcome.Accepted.class);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void outcomeIsNeverWrongUnderTwoSimultaneousFaults(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (int i = 0; i < 40; i++) {
            injectFault(random.nextInt(5), random);
            injectFault(random.nextInt(5), random);
            String id = "s" + i;
            int share = 1 + i;
            HeadWriteFaultStore faultyStore = new HeadWriteFaultStore(store);
            if (random.nextInt(4) == 0) {
                faultyStore.delayNextThenDisconnect();
            }
            ApplyOutcome outcome = SampleConfigs.publisher(faultyStore)
                    .apply(SampleConfigs.request(id, "ann", SampleConfigs.sections(1, share)), EMPTY);
            store.faults().outage(false);
            if (random.nextBoolean()) {
                store.releaseWrites();
            }
            ApplyOutcome later = publisher.outcomeOf(ApplyId.of(id));
            store.releaseWrites();
            store.faults().staleReads(0);
            assertConsistent(
                    seed, i, outcome, later, SampleConfigs.stored(store).manifest());
        }
        store.faults().loseAnswers(0);
        store.faults().delayWrites(0);
        assertWithMessage("seed %s", seed).that(trail().problems()).isEmpty();
    }

    private void injectFault(int fault, SplittableRandom random) {
        switch (fault) {
            case 0 -> store.faults().loseAnswers(random.nextInt(1, 6));
            case 1 -> store.faults().delayWrites(random.nextInt(1, 6));
            case 2 -> store.faults().staleReads(random.nextInt(1, 6));
            case 3 -> store.faults().outage(true);
            default -> {
                // no fault
            }
        }
    }

    private static void assertConsistent(long seed, int step, ApplyOutcome outcome, ApplyOutcome later, Manifest now) {
        String id = "s" + step;
        boolean published = now.recent().contains(id);
        for (ApplyOutcome reported : List.of(outcome, later)) {
            if (reported instanceof ApplyOutcome.Accepted) {
                assertWithMessage("seed %s step %s %s", seed, step, reported)
                        .that(published)
                        .isTrue();
            }
            if (reported instanceof ApplyOutcome.Refused || reported instanceof ApplyOutcome.Overtaken) {
                assertWithMessage("seed %s step %s %s", seed, step, reported)
                        .that(published)
                        .isFalse();
            }
        }
    }

    @ParameterizedTest
    @CsvSource({"key-hash, (hidden)", "class, counter"})
    void secretsAreMaskedInTheAuditTrail(String key, String expectedValue) {
        publisher.apply(SampleConfigs.request("a1", "ann", SampleConfigs.sections(1, 1)), EMPTY);
        ChainedEntry entry = trail().entries().get(0);
        List<KeyChange> changes =
                ChangeTrail.create(store).readKeyChanges(entry).value();
        assertThat(changes.stream()
                        .filter(change -> change.key().equals(key))
                        .map(KeyChange::newValue)
                        .toList())
                .containsExactly(expectedValue);
        assertThat(entry.entry().who()).isEqualTo("ann");
    }

    @Test
    void refusedApplyIsRecordedInTheTrailOfRefusals() {
        publisher.apply(SampleConfigs.request("a1", "ann", SampleConfigs.sections(1, 5000)), EMPTY);
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
