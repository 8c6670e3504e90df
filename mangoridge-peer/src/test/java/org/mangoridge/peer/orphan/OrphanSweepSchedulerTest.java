package org.mangoridge.peer.orphan;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.Generation;
import org.mangoridge.core.id.Incarnation;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.Owner;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.peer.membership.Liveness;
import org.mangoridge.peer.membership.Member;
import org.mangoridge.peer.membership.MemberRecord;
import org.mangoridge.peer.membership.PeerView;
import org.mangoridge.peer.membership.ServingState;

import static com.google.common.truth.Truth.assertThat;

class OrphanSweepSchedulerTest {

    private static final AvailabilityZone ZONE = AvailabilityZone.of("zone-a");
    private static final Owner DEAD = new Owner(InstanceId.of("dead"), Incarnation.of(5));
    private static final List<SweepTarget> SERVERS = IntStream.range(0, 12)
            .mapToObj(number -> new SweepTarget(ServerId.of("decode-" + number), ZONE))
            .toList();
    private static final List<String> SURVIVORS = List.of("a", "b", "c", "d", "e");

    @Test
    void eachServerIsSweptByOneSurvivorAtOnceAndByTwoMoreAsBackup() {
        List<ServerId> atOnce = new ArrayList<>();
        List<ServerId> backup = new ArrayList<>();
        for (String name : SURVIVORS) {
            OrphanSweepScheduler scheduler = OrphanSweepScheduler.create();
            scheduler.on(new OrphanEvent.Gone(DEAD), seconds(10));
            atOnce.addAll(servers(scheduler.on(tick(name, false), seconds(10))));
            backup.addAll(servers(scheduler.on(tick(name, false), seconds(14))));
        }
        assertThat(atOnce).hasSize(SERVERS.size());
        assertThat(atOnce).containsNoDuplicates();
        assertThat(backup).hasSize(2 * SERVERS.size());
    }

    @Test
    void instanceThatReturnsIsNotSwept() {
        OrphanSweepScheduler scheduler = OrphanSweepScheduler.create();
        scheduler.on(new OrphanEvent.Gone(DEAD), seconds(10));
        scheduler.on(new OrphanEvent.Returned(DEAD), seconds(11));
        assertThat(scheduler.on(tick("a", false), seconds(20))).isEmpty();
    }

    @Test
    void laterRunDoesNotProtectAnEarlierOne() {
        OrphanSweepScheduler scheduler = OrphanSweepScheduler.create();
        scheduler.on(new OrphanEvent.Gone(DEAD), seconds(10));
        scheduler.on(new OrphanEvent.Returned(new Owner(DEAD.instance(), Incarnation.of(6))), seconds(11));
        assertThat(scheduler.on(tick("a", false), seconds(20))).isNotEmpty();
    }

    @Test
    void instanceSweepsEveryServerForItsOwnEarlierRuns() {
        OrphanSweepScheduler scheduler = OrphanSweepScheduler.create();
        scheduler.on(new OrphanEvent.Gone(new Owner(InstanceId.of("a"), Incarnation.of(0))), seconds(10));
        assertThat(scheduler.on(tick("a", false), seconds(10))).hasSize(SERVERS.size());
    }

    @Test
    void isolatedInstanceSweepsNothing() {
        OrphanSweepScheduler scheduler = OrphanSweepScheduler.create();
        scheduler.on(new OrphanEvent.Gone(DEAD), seconds(10));
        assertThat(scheduler.on(tick("a", true), seconds(20))).isEmpty();
        assertThat(scheduler.on(tick("a", false), seconds(21))).isNotEmpty();
    }

    @Test
    void failedSweepIsRetriedUntilThreeAreComplete() {
        OrphanSweepScheduler scheduler = OrphanSweepScheduler.create();
        scheduler.on(new OrphanEvent.Gone(DEAD), Duration.ZERO);
        ServerId first = scheduler.on(tick("a", false), Duration.ZERO).get(0).server();
        scheduler.on(new OrphanEvent.SweepEnded(new OrphanEvent.Sweep(first, DEAD), false), Duration.ZERO);
        int complete = 0;
        for (int second = 1; second < 120; second++) {
            for (OrphanEvent.Sweep sweep : scheduler.on(tick("a", false), seconds(second))) {
                complete += sweep.server().equals(first) ? 1 : 0;
                scheduler.on(new OrphanEvent.SweepEnded(sweep, true), seconds(second));
            }
        }
        assertThat(complete).isEqualTo(3);
    }

    private static List<ServerId> servers(List<OrphanEvent.Sweep> sweeps) {
        return sweeps.stream().map(OrphanEvent.Sweep::server).toList();
    }

    private static OrphanEvent.Tick tick(String self, boolean isolated) {
        List<MemberRecord> others = SURVIVORS.stream()
                .filter(name -> !name.equals(self))
                .map(name -> new MemberRecord(member(name), 0, Liveness.ALIVE))
                .toList();
        return new OrphanEvent.Tick(new PeerView(member(self), others, isolated), SERVERS);
    }

    private static Member member(String name) {
        return new Member(
                InstanceId.of(name),
                Incarnation.of(1),
                ZONE,
                HostPort.parse("10.0.0.1:1"),
                ServingState.SERVING,
                Generation.of(0));
    }

    private static Duration seconds(long seconds) {
        return Duration.ofSeconds(seconds);
    }
}
