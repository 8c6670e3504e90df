package org.mangoridge.gateway.gossip;

import java.time.Duration;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.directory.ServerRun;
import org.mangoridge.dispatch.directory.ServerStage;

import static com.google.common.truth.Truth.assertThat;

/** One instance of many has an answer in which a server says that it leaves, on virtual time. */
class LeavingServerFleetTest {

    private static final ServiceId SERVICE = ServiceId.of("desk");
    private static final Duration STARTUP = Duration.ofSeconds(8);

    private static ServerEntry run(long startedMillis) {
        return new ServerEntry(
                ServerId.of("s-1"),
                SERVICE,
                new HostPort("127.0.0.1", 1),
                AvailabilityZone.of("a"),
                6,
                false,
                ServerStage.NONE,
                startedMillis,
                ServerEntry.UNKNOWN_SEQUENCE);
    }

    private static long usedBy(GossipFleet fleet) {
        return fleet.members().stream()
                .filter(member -> !member.directory.usable(SERVICE).isEmpty())
                .count();
    }

    /** The word is told again, so that a lost datagram delays it by less than the store takes for an entry. */
    @ParameterizedTest
    @CsvSource({"3, 0, 50", "12, 0, 50", "60, 0, 100", "3, 0.2, 2000", "12, 0.2, 2000", "60, 0.2, 2000"})
    void allInstancesLearnThatAServerLeaves(int instances, double lossRate, long withinMillis) {
        GossipFleet fleet = GossipFleet.create(instances, 3, 7);
        fleet.setLossRate(lossRate);
        fleet.members().forEach(member -> member.directory.put(run(1)));
        fleet.run(STARTUP);
        fleet.members().getFirst().observeLeaving(ServerRun.of(run(1)));
        fleet.run(Duration.ofMillis(withinMillis));
        assertThat(usedBy(fleet)).isEqualTo(0);
    }

    /** Instances go on telling of the old run, and some learn of the new one before that. */
    @ParameterizedTest
    @CsvSource({"3", "12"})
    void aNewRunIsUsedByAllWhileTheOldOneIsStillTold(int instances) {
        GossipFleet fleet = GossipFleet.create(instances, 3, 7);
        fleet.members().forEach(member -> member.directory.put(run(1)));
        fleet.run(STARTUP);
        fleet.members().getFirst().observeLeaving(ServerRun.of(run(1)));
        fleet.members().getLast().directory.put(run(2));
        fleet.run(Duration.ofSeconds(5));
        assertThat(usedBy(fleet)).isEqualTo(1);
        fleet.members().forEach(member -> member.directory.put(run(2)));
        fleet.run(Duration.ofSeconds(5));
        assertThat(usedBy(fleet)).isEqualTo(instances);
    }
}
