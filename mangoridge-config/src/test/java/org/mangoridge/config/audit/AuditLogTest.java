package org.mangoridge.config.audit;

import java.time.Instant;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mangoridge.config.Manifest;
import org.mangoridge.config.PublishedConfig;
import org.mangoridge.config.SampleConfigs;
import org.mangoridge.objects.Precondition;
import org.mangoridge.objects.StoredObject;
import org.mangoridge.standin.platform.InMemoryObjectStore;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class AuditLogTest {

    private static final Instant TIME = Instant.parse("2026-01-01T00:00:00Z");

    private final InMemoryObjectStore store = InMemoryObjectStore.create();

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10})
    void chainIsIntactAfterConcurrentAppendsUnderFaults(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<AuditLog> logs = List.of(log(seed + 1), log(seed + 2), log(seed + 3));
        int confirmed = 0;
        for (int i = 0; i < 100; i++) {
            store.faults().loseAnswers(random.nextInt(3) == 0 ? 1 : 0);
            store.faults().delayWrites(random.nextInt(4) == 0 ? 1 : 0);
            confirmed += logs.get(random.nextInt(3)).append(drain("n" + i)).isOk() ? 1 : 0;
            if (random.nextInt(5) == 0) {
                store.releaseWrites();
            }
        }
        store.releaseWrites();
        store.faults().loseAnswers(0);
        store.faults().delayWrites(0);
        AuditTrail trail = AuditTrail.read(store, "zone-a").value();
        assertWithMessage("seed %s", seed).that(trail.problems()).isEmpty();
        assertWithMessage("seed %s", seed).that(confirmed).isEqualTo(100);
        assertWithMessage("seed %s", seed).that(trail.entries()).hasSize(100);
    }

    @ParameterizedTest
    @CsvSource({"1, change", "3, change", "5, change", "1, remove", "3, remove", "5, remove"})
    void changedOrRemovedEntryIsDetected(int number, String tampering) {
        AuditLog log = log(1);
        for (int i = 1; i <= 5; i++) {
            log.append(drain("n" + i));
        }
        StoredObject object = store.read(AuditStore.entryKey("zone-a", String.format("%019d", number)))
                .value()
                .get();
        if (tampering.equals("change")) {
            ChainedEntry entry = ChainedEntry.decode(object.value()).value();
            AuditEntry other = AuditEntry.of(AuditKind.DRAIN, "mallory", TIME, "", "n" + number, "drained");
            ChainedEntry changed = new ChainedEntry(
                    entry.id(), entry.number(), entry.previousId(), entry.previousHash(), 0, other, List.of());
            store.write(object.key(), changed.encode(), Precondition.atVersion(object.version()));
        } else {
            store.delete(object.key(), object.version());
        }
        assertThat(AuditTrail.read(store, "zone-a").value().problems()).isNotEmpty();
    }

    @Test
    void prunedTrailIsVerifiedFromItsAnchor() {
        AuditLog log = log(1);
        int appended = AuditLog.MIN_RETAINED_ENTRIES + 300;
        for (int i = 1; i <= appended; i++) {
            log.append(drain("n"));
        }
        AuditTrail trail = AuditTrail.read(store, "zone-a").value();
        assertThat(trail.problems()).isEmpty();
        assertThat(trail.entries()).hasSize(AuditLog.MIN_RETAINED_ENTRIES);
        StoredObject oldest = store.list("audit/zone-a/", "", 1).value().get(0);
        store.delete(oldest.key(), oldest.version());
        assertThat(AuditTrail.read(store, "zone-a").value().problems()).isNotEmpty();
    }

    @Test
    void removedEntryOfAcceptedChangeIsDetected() {
        SampleConfigs.publish(store, "a1", 1);
        PublishedConfig last = SampleConfigs.publish(store, "a2", 2);
        assertThat(changes(last.manifest()).problems()).isEmpty();
        StoredObject object = store.read(AuditStore.entryKey(AuditStore.CHANGES, "a1"))
                .value()
                .get();
        store.delete(object.key(), object.version());
        assertThat(changes(last.manifest()).problems()).isNotEmpty();
    }

    private AuditTrail changes(Manifest manifest) {
        return AuditTrail.readChanges(store, manifest.applyId(), manifest.generation(), manifest.entryHash())
                .value();
    }

    private AuditLog log(long seed) {
        return AuditLog.create(store, "zone-a", new SplittableRandom(seed));
    }

    private static AuditEntry drain(String instance) {
        return AuditEntry.of(AuditKind.DRAIN, "ann", TIME, "test", instance, "drained");
    }
}
