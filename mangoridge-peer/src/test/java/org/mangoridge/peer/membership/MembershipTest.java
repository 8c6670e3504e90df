package org.mangoridge.peer.membership;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.mangoridge.core.id.Incarnation;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.Owner;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

class MembershipTest {

    private static final Duration MAX_DETECTION = Duration.ofSeconds(3);
    private static final Duration CONVERGENCE = Duration.ofSeconds(15);

    @ParameterizedTest
    @CsvSource({"1, 7, 3", "2, 7, 1", "3, 60, 1", "4, 60, 6", "5, 120, 6"})
    void everyInstanceLearnsOfAllOthers(long seed, int size, int zones) {
        VirtualFleet fleet = VirtualFleet.converged(seed, size, zones);
        for (VirtualFleet.Node node : fleet.running()) {
            assertWithMessage("seed %s, view of %s", seed, node.member.id())
                    .that(node.view().live())
                    .hasSize(size);
        }
    }

    @ParameterizedTest
    @CsvSource({"11, 7, 1", "12, 20, 1", "13, 60, 1", "14, 60, 1", "15, 57, 1"})
    void killedInstanceIsDetectedInItsZoneWithinTheBound(long seed, int size, int zones) {
        VirtualFleet fleet = VirtualFleet.converged(seed, size, zones);
        fleet.kill(3);
        fleet.run(MAX_DETECTION);
        assertAllBelieveDead(seed, fleet, 3);
    }

    @ParameterizedTest
    @ValueSource(longs = {21, 22, 23})
    void lostMachineIsDetectedInItsZoneWithinTheBound(long seed) {
        VirtualFleet fleet = VirtualFleet.converged(seed, 57, 1);
        fleet.removeMachine(5);
        fleet.run(MAX_DETECTION);
        assertAllBelieveDead(seed, fleet, 5);
    }

    @ParameterizedTest
    @ValueSource(longs = {31, 32, 33})
    void twoInstancesKilledAtOnceAreBothDetected(long seed) {
        VirtualFleet fleet = VirtualFleet.converged(seed, 20, 1);
        fleet.kill(3);
        fleet.kill(4);
        fleet.run(MAX_DETECTION);
        assertAllBelieveDead(seed, fleet, 3);
        assertAllBelieveDead(seed, fleet, 4);
    }

    @ParameterizedTest
    @ValueSource(longs = {41, 42, 43})
    void pausedInstanceIsLiveAgainSoonAfterItResumes(long seed) {
        VirtualFleet fleet = VirtualFleet.converged(seed, 20, 1);
        fleet.pause(6);
        fleet.run(Duration.ofSeconds(8));
        assertAllBelieveDead(seed, fleet, 6);
        fleet.resume(6);
        fleet.run(Duration.ofSeconds(5));
        assertAllLive(seed, fleet, 20);
    }

    @ParameterizedTest
    @ValueSource(longs = {51, 52, 53})
    void shortPauseIsNotReportedAsDeath(long seed) {
        VirtualFleet fleet = VirtualFleet.converged(seed, 20, 1);
        Duration since = fleet.now();
        fleet.pause(6);
        fleet.run(Duration.ofMillis(700));
        fleet.resume(6);
        fleet.run(CONVERGENCE);
        assertWithMessage("seed %s", seed)
                .that(fleet.actions(MembershipAction.Gone.class, since))
                .isEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {61, 62, 63})
    void pauseAndKillAtOnceAreBothDetected(long seed) {
        VirtualFleet fleet = VirtualFleet.converged(seed, 20, 1);
        fleet.pause(6);
        fleet.kill(7);
        fleet.run(Duration.ofSeconds(6));
        assertAllBelieveDead(seed, fleet, 7);
        fleet.resume(6);
        fleet.run(Duration.ofSeconds(5));
        assertAllLive(seed, fleet, 19);
    }

    @ParameterizedTest
    @ValueSource(longs = {71, 72, 73})
    void linkCutInOneDirectionIsNotReportedAsDeath(long seed) {
        VirtualFleet fleet = VirtualFleet.converged(seed, 20, 1);
        Duration since = fleet.now();
        fleet.cut(2, 9);
        fleet.run(Duration.ofSeconds(60));
        assertWithMessage("seed %s", seed)
                .that(fleet.actions(MembershipAction.Gone.class, since))
                .isEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {81, 82, 83})
    void viewsConvergeAfterAFlappingLink(long seed) {
        VirtualFleet fleet = VirtualFleet.converged(seed, 20, 1);
        for (int i = 0; i < 10; i++) {
            isolate(fleet, 4, 20);
            fleet.run(Duration.ofMillis(900));
            fleet.heal();
            fleet.run(Duration.ofMillis(900));
        }
        fleet.run(CONVERGENCE);
        assertAllLive(seed, fleet, 20);
    }

    @ParameterizedTest
    @ValueSource(longs = {91, 92, 93})
    void partitionedZonesKeepTheirOwnMembersAndRejoinAfterwards(long seed) {
        VirtualFleet fleet = VirtualFleet.converged(seed, 30, 3);
        for (int from = 0; from < 30; from++) {
            for (int to = 0; to < 30; to++) {
                if (from % 3 != to % 3) {
                    fleet.cut(from, to);
                }
            }
        }
        fleet.run(Duration.ofMinutes(3));
        for (VirtualFleet.Node node : fleet.running()) {
            assertWithMessage("seed %s, zone of %s", seed, node.member.id())
                    .that(node.view().liveInZone())
                    .hasSize(10);
        }
        fleet.heal();
        fleet.run(Duration.ofSeconds(60));
        assertAllLive(seed, fleet, 30);
    }

    @Test
    void laterRunAtTheSameAddressReplacesTheEarlierOne() {
        VirtualFleet fleet = VirtualFleet.converged(101, 10, 1);
        Duration since = fleet.now();
        fleet.kill(3);
        fleet.start(VirtualFleet.id(3), 2, VirtualFleet.zone(0), VirtualFleet.address(3));
        fleet.run(MAX_DETECTION);
        Set<MembershipAction> gone = distinctActions(fleet.actions(MembershipAction.Gone.class, since));
        Owner former = new Owner(VirtualFleet.id(3), Incarnation.of(1));
        assertThat(gone).contains(new MembershipAction.Gone(former, GoneReason.REPLACED));
        for (VirtualFleet.Node node : fleet.running()) {
            assertThat(node.view().live()).hasSize(10);
        }
    }

    @Test
    void otherInstanceAtTheSameAddressReplacesTheFormerOne() {
        VirtualFleet fleet = VirtualFleet.converged(102, 10, 1);
        fleet.kill(3);
        fleet.start(InstanceId.of("entry-new"), 5, VirtualFleet.zone(0), VirtualFleet.address(3));
        fleet.run(MAX_DETECTION.multipliedBy(2));
        for (VirtualFleet.Node node : fleet.running()) {
            List<InstanceId> live = node.view().live().stream().map(Member::id).toList();
            assertThat(live).contains(InstanceId.of("entry-new"));
            assertThat(live).doesNotContain(VirtualFleet.id(3));
        }
    }

    @Test
    void replacedRunIsToldThatItIsSuperseded() {
        VirtualFleet fleet = VirtualFleet.converged(103, 10, 1);
        Duration since = fleet.now();
        VirtualFleet.Node former = fleet.node(3);
        fleet.pause(3);
        fleet.start(VirtualFleet.id(3), 2, VirtualFleet.zone(0), VirtualFleet.address(200));
        fleet.run(MAX_DETECTION);
        former.on(
                new MembershipEvent.Received(new GossipMessage(
                        new MemberRecord(fleet.node(4).member, 0, Liveness.ALIVE),
                        fleet.node(4).view().others(),
                        Map.of(),
                        0,
                        true)),
                answer -> {});
        assertThat(distinctActions(fleet.actions(MembershipAction.Superseded.class, since)))
                .containsExactly(new MembershipAction.Superseded(new Owner(VirtualFleet.id(3), Incarnation.of(2))));
    }

    @Test
    void stoppedInstanceIsReportedWithoutFailureDetection() {
        VirtualFleet fleet = VirtualFleet.converged(104, 7, 1);
        Duration since = fleet.now();
        fleet.node(3).on(new MembershipEvent.StateChanged(ServingState.STOPPED), answer -> {});
        fleet.run(Duration.ofMillis(1500));
        Owner owner = fleet.node(3).member.owner();
        assertThat(distinctActions(fleet.actions(MembershipAction.Gone.class, since)))
                .containsExactly(new MembershipAction.Gone(owner, GoneReason.STOPPED));
    }

    @Test
    void onlyTheInstanceCutOffFromAllOthersIsIsolated() {
        VirtualFleet fleet = VirtualFleet.converged(105, 7, 1);
        isolate(fleet, 3, 7);
        fleet.run(Duration.ofSeconds(5));
        assertThat(fleet.node(3).view().isolated()).isTrue();
        assertThat(fleet.node(2).view().isolated()).isFalse();
    }

    private static void isolate(VirtualFleet fleet, int number, int size) {
        for (int other = 0; other < size; other++) {
            if (other != number) {
                fleet.cut(number, other);
                fleet.cut(other, number);
            }
        }
    }

    private static Set<MembershipAction> distinctActions(List<VirtualFleet.RecordedAction> recorded) {
        return recorded.stream().map(VirtualFleet.RecordedAction::action).collect(Collectors.toSet());
    }

    private static void assertAllBelieveDead(long seed, VirtualFleet fleet, int number) {
        for (VirtualFleet.Node node : fleet.running()) {
            assertWithMessage("seed %s, view of %s", seed, node.member.id())
                    .that(node.view()
                            .find(VirtualFleet.id(number))
                            .orElseThrow()
                            .liveness())
                    .isEqualTo(Liveness.DEAD);
        }
    }

    private static void assertAllLive(long seed, VirtualFleet fleet, int size) {
        for (VirtualFleet.Node node : fleet.running()) {
            assertWithMessage("seed %s, view of %s", seed, node.member.id())
                    .that(node.view().live())
                    .hasSize(size);
        }
    }
}
