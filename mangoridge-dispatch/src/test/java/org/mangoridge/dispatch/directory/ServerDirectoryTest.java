package org.mangoridge.dispatch.directory;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.net.HostPort;

import static com.google.common.truth.Truth.assertThat;

class ServerDirectoryTest {

    private static final ServiceId SERVICE = ServiceId.of("desk");
    private static final Duration CATCH_UP_TIME = Duration.ofSeconds(3);
    private static final Duration DRAIN_NOTICE = Duration.ofSeconds(2);
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(1200);
    private static final Duration START = Duration.ofSeconds(100);
    private static final Duration AFTER_GRACE =
            START.plus(ServerDirectory.RELISTING_GRACE).plusSeconds(1);

    private final ServerDirectory directory =
            ServerDirectory.create(new DirectoryTiming(CATCH_UP_TIME, DRAIN_NOTICE, REPORT_INTERVAL));

    static ServerEntry entry(String id, boolean leaving, long startedMillis) {
        return entry(id, leaving, startedMillis, ServerEntry.UNKNOWN_SEQUENCE);
    }

    private static ServerEntry entry(String id, boolean leaving, long startedMillis, long sequence) {
        return new ServerEntry(
                ServerId.of(id),
                SERVICE,
                new HostPort("127.0.0.1", 80),
                AvailabilityZone.of("a"),
                6,
                leaving,
                ServerStage.NONE,
                startedMillis,
                sequence);
    }

    @BeforeEach
    void listServersWithReachableStore() {
        directory.storeReachable(START);
        directory.put(entry("s-1", false, 1));
        directory.put(entry("s-2", false, 1));
    }

    private List<String> usable() {
        return directory.usable(SERVICE).stream()
                .map(server -> server.id().value())
                .toList();
    }

    @Test
    void aServerRemovedOutsideTheGraceIsGoneAtOnce() {
        assertThat(directory.remove(ServerId.of("s-1"), AFTER_GRACE)).isPresent();
        assertThat(usable()).containsExactly("s-2");
    }

    @Test
    void aDrainingServerIsNotUsable() {
        assertThat(directory.put(entry("s-1", true, 1))).isPresent();
        assertThat(usable()).containsExactly("s-2");
    }

    /** Entries expire during an outage of the store; live servers are listed again within two seconds after it. */
    @Test
    void anEntryMissingAfterAnOutageIsKeptForTheGrace() {
        Duration recovered = AFTER_GRACE.plusSeconds(5);
        directory.storeUnreachable(recovered);
        directory.storeReachable(recovered);
        assertThat(directory.replaceAll(List.of(entry("s-2", false, 1)), recovered))
                .isEmpty();
        assertThat(usable()).containsExactly("s-1", "s-2");
        assertThat(directory.expire(recovered.plus(ServerDirectory.RELISTING_GRACE)))
                .hasSize(1);
        assertThat(usable()).containsExactly("s-2");
    }

    /** Guards against incident sleepover-2: the grace started with the first answer, long after the path was whole. */
    @Test
    void theGraceEndsInTimeThoughTheStoreIsReachedLate() {
        Duration failed = AFTER_GRACE.plusSeconds(5);
        directory.storeUnreachable(failed);
        Duration recovered = failed.plusMillis(2200);
        directory.storeReachable(recovered);
        directory.replaceAll(List.of(entry("s-2", false, 1)), recovered);
        directory.expire(failed.plus(CATCH_UP_TIME).minusMillis(200));
        assertThat(usable()).containsExactly("s-2");
    }

    private static void interrupt(ServerDirectory interrupted, Duration from, Duration to) {
        interrupted.storeUnreachable(from);
        interrupted.storeReachable(to);
    }

    /** A watch that is cut off and answered again at once is no time in which a live server's entry expires. */
    @ParameterizedTest
    @CsvSource({"100, s-2", "1700, s-2", "1900, s-1 s-2"})
    void onlyAnOutageThatEntriesCanExpireInKeepsMissingServers(long outageMillis, String usable) {
        directory.storeReachable(AFTER_GRACE);
        Duration back = AFTER_GRACE.plusMillis(outageMillis);
        interrupt(directory, back.minusMillis(50), back);
        directory.remove(ServerId.of("s-1"), back);
        assertThat(usable()).containsExactlyElementsIn(List.of(usable.split(" ")));
    }

    /** Guards against a removal that each further outage put off: requests reached a server that was gone. */
    @ParameterizedTest
    @CsvSource({"100, 100", "1500, 200", "1800, 1900", "2500, 2500"})
    void noFurtherOutagePutsARemovalOffPastTheDrainNotice(long everyMillis, long lengthMillis) {
        Duration learned = AFTER_GRACE.plusSeconds(5);
        interrupt(directory, learned, learned);
        directory.remove(ServerId.of("s-1"), learned);
        for (int i = 1; i <= 20; i++) {
            Duration start = learned.plusMillis(i * everyMillis);
            interrupt(directory, start, start.plusMillis(lengthMillis));
        }
        // The store is out of reach at the end of the notice too.
        directory.storeUnreachable(learned.plusMillis(1));
        directory.expire(learned.plus(DRAIN_NOTICE).minusMillis(200));
        assertThat(usable()).containsExactly("s-2");
    }

    /** Entries expire in one outage, and the next one begins before the servers could write them again. */
    @ParameterizedTest
    @CsvSource({"false", "true"})
    void aServerWhoseEntryExpiredStaysThroughASecondOutage(boolean tickDuringOutage) {
        ServerDirectory patient =
                ServerDirectory.create(new DirectoryTiming(CATCH_UP_TIME, Duration.ofSeconds(20), REPORT_INTERVAL));
        patient.storeReachable(START);
        patient.put(entry("s-1", false, 1));
        Duration back = AFTER_GRACE.plusSeconds(5);
        interrupt(patient, back, back);
        patient.replaceAll(List.of(), back);
        Duration again = back.plus(ServerDirectory.RELISTING_GRACE).minusMillis(100);
        Duration end = tickDuringOutage ? again.plusSeconds(8) : again.plusSeconds(2);
        patient.storeUnreachable(again);
        if (tickDuringOutage) {
            patient.expire(end.minusSeconds(1));
        }
        patient.storeUnreachable(end.minusMillis(200));
        patient.storeReachable(end);
        patient.expire(end.plusSeconds(1));
        assertThat(patient.usable(SERVICE)).hasSize(1);
        patient.expire(end.plus(ServerDirectory.RELISTING_GRACE));
        assertThat(patient.usable(SERVICE)).isEmpty();
    }

    @Test
    void aServerListedAgainWithinTheGraceStays() {
        Duration recovered = AFTER_GRACE.plusSeconds(5);
        directory.storeUnreachable(recovered);
        directory.storeReachable(recovered);
        directory.replaceAll(List.of(), recovered);
        directory.put(entry("s-1", false, 1));
        directory.expire(recovered.plus(ServerDirectory.RELISTING_GRACE));
        assertThat(usable()).containsExactly("s-1");
    }

    @Test
    void aDelayedEntryOfAnEarlierRunIsIgnored() {
        directory.put(entry("s-1", true, 5));
        directory.put(entry("s-1", false, 4));
        assertThat(usable()).containsExactly("s-2");
    }

    @Test
    void aServerThatLeftBeforeARestoreIsNotUsedAgain() {
        directory.put(entry("s-1", false, 1, 7));
        directory.remove(ServerId.of("s-1"), AFTER_GRACE);
        directory.storeRestored(AFTER_GRACE);
        directory.replaceAll(List.of(entry("s-1", false, 1, 5), entry("s-2", false, 1)), AFTER_GRACE);
        assertThat(usable()).containsExactly("s-2");
    }

    /** The same for a server that was removed at the end of the grace, since its entry was missing after an outage. */
    @Test
    void aServerThatLeftDuringAnOutageIsNotUsedAgainAfterARestore() {
        directory.put(entry("s-1", false, 1, 7));
        directory.storeUnreachable(AFTER_GRACE);
        directory.storeReachable(AFTER_GRACE);
        directory.remove(ServerId.of("s-1"), AFTER_GRACE);
        Duration expired = AFTER_GRACE.plus(ServerDirectory.RELISTING_GRACE);
        directory.expire(expired);
        directory.storeRestored(expired);
        directory.replaceAll(List.of(entry("s-1", false, 1, 5), entry("s-2", false, 1)), expired);
        assertThat(usable()).containsExactly("s-2");
    }

    /** Guards against an entry from the copy that ends the time of a missing server: it was used until that expired. */
    @ParameterizedTest
    @CsvSource({"5, s-2", "7, s-2", "8, s-1 s-2"})
    void onlyANewerEntryOfAMissingServerCountsAfterARestore(long listedSequence, String usable) {
        directory.put(entry("s-1", false, 1, 7));
        interrupt(directory, AFTER_GRACE, AFTER_GRACE);
        directory.remove(ServerId.of("s-1"), AFTER_GRACE);
        directory.storeRestored(AFTER_GRACE);
        directory.replaceAll(List.of(entry("s-1", false, 1, listedSequence), entry("s-2", false, 1)), AFTER_GRACE);
        directory.expire(AFTER_GRACE.plus(DRAIN_NOTICE));
        assertThat(usable()).containsExactlyElementsIn(List.of(usable.split(" ")));
    }

    @Test
    void aServerThatDrainsBeforeARestoreIsNotUsedAgain() {
        directory.put(entry("s-1", true, 1, 7));
        directory.storeRestored(AFTER_GRACE);
        directory.replaceAll(List.of(entry("s-1", false, 1, 5), entry("s-2", false, 1)), AFTER_GRACE);
        directory.put(entry("s-1", false, 1, 8));
        assertThat(usable()).containsExactly("s-2");
    }

    /** The copy lacks a server that was listed after it was made; the server writes its entry again. */
    @ParameterizedTest
    @CsvSource({"true, 2", "false, 1"})
    void aServerThatARestoredStoreLacksHasTimeToWriteAgain(boolean writesAgain, int usableServers) {
        directory.storeRestored(AFTER_GRACE);
        directory.replaceAll(List.of(entry("s-2", false, 1)), AFTER_GRACE);
        assertThat(usable()).containsExactly("s-1", "s-2");
        if (writesAgain) {
            directory.put(entry("s-1", false, 1));
        }
        directory.expire(AFTER_GRACE.plus(ServerDirectory.RELISTING_GRACE));
        assertThat(usable()).hasSize(usableServers);
    }

    /** A server whose entry expired, such as one that was cut off from the store, comes back with a newer entry. */
    @ParameterizedTest
    @CsvSource({"1, 8", "2, 1", "1, -1"})
    void aServerWithANewerEntryComesBack(long startedMillis, long sequence) {
        directory.put(entry("s-1", false, 1, 7));
        directory.remove(ServerId.of("s-1"), AFTER_GRACE);
        directory.put(entry("s-1", false, startedMillis, sequence));
        assertThat(usable()).containsExactly("s-1", "s-2");
    }

    /** The entry of a server that says in its answers that it leaves may say ready for long. */
    @Test
    void aRunThatSaidThatItLeavesStaysUnusableWhateverItsEntrySays() {
        assertThat(directory.announceLeaving(run("s-1", 1), Duration.ZERO, START))
                .isTrue();
        assertThat(directory.announceLeaving(run("s-1", 1), Duration.ZERO, START))
                .isFalse();
        assertThat(usable()).containsExactly("s-2");
        directory.put(entry("s-1", false, 1, 9));
        assertThat(usable()).containsExactly("s-2");
        directory.remove(ServerId.of("s-1"), AFTER_GRACE);
        directory.put(entry("s-1", false, 1, 10));
        assertThat(usable()).containsExactly("s-2");
        directory.drop(ServerId.of("s-1"));
        directory.replaceAll(List.of(entry("s-1", false, 1, 11), entry("s-2", false, 1)), AFTER_GRACE);
        assertThat(usable()).containsExactly("s-2");
    }

    @Test
    void aNewRunIsUsableAndALateWordOfTheOldOneChangesNothing() {
        directory.announceLeaving(run("s-1", 1), Duration.ZERO, START);
        directory.put(entry("s-1", false, 2));
        assertThat(usable()).containsExactly("s-1", "s-2");
        directory.announceLeaving(run("s-1", 1), Duration.ZERO, START);
        assertThat(usable()).containsExactly("s-1", "s-2");
    }

    /** A peer may tell of a run before its entry is known here, and after it is gone. */
    @ParameterizedTest
    @CsvSource({"0, false", "200, false", "301, true"})
    void aWordOfARunThatIsNotListedYetHoldsForAWhile(long ageSeconds, boolean usable) {
        directory.announceLeaving(run("s-3", 1), Duration.ofSeconds(ageSeconds), START);
        directory.expire(START);
        directory.put(entry("s-3", false, 1));
        assertThat(usable().contains("s-3")).isEqualTo(usable);
    }

    @Test
    void theWordIsToldWithItsAgeAndForgottenWithTheServer() {
        directory.announceLeaving(run("s-1", 1), Duration.ofSeconds(2), START);
        Duration later = START.plus(ServerDirectory.DEPARTED_RETENTION).plusSeconds(1);
        directory.expire(later);
        assertThat(directory.leavingRuns(START)).containsExactly(new LeavingRun(run("s-1", 1), Duration.ofSeconds(2)));
        directory.remove(ServerId.of("s-1"), later);
        directory.expire(later);
        assertThat(directory.leavingRuns(later)).isEmpty();
    }

    private static ServerRun run(String id, long startedMillis) {
        return new ServerRun(ServerId.of(id), startedMillis);
    }
}
