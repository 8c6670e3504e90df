package org.mangoridge.dispatch.balance;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.dispatch.balance.LoadTracker.Urgency;

import static com.google.common.truth.Truth.assertThat;

class LoadTrackerTest {

    private static final ServerId SERVER = ServerId.of("s-1");
    private static final InstanceId PEER = InstanceId.of("peer");
    private static final Duration START = Duration.ofSeconds(10);

    private final LoadTracker tracker = LoadTracker.create();

    @Test
    void loadsOfAllInstancesAddUp() {
        tracker.add(SERVER, new ServerLoad(1, 100, 200, 0));
        tracker.replacePeerLoads(PEER, Map.of(SERVER, new ServerLoad(2, 10, 20, 0)), START);
        assertThat(tracker.total(SERVER)).isEqualTo(new ServerLoad(3, 110, 220, 0));
        assertThat(tracker.own(SERVER)).isEqualTo(new ServerLoad(1, 100, 200, 0));
    }

    @Test
    void loadThatIsAddedAndSubtractedLeavesNothing() {
        tracker.add(SERVER, new ServerLoad(1, 100, 200, 0));
        tracker.subtract(SERVER, new ServerLoad(1, 100, 200, 0));
        assertThat(tracker.ownLoads()).isEmpty();
    }

    /** When a machine loses power, its connections stay open and the servers go on with its streams. */
    @Test
    void theLoadOfALostPeerCountsUntilItExpires() {
        tracker.replacePeerLoads(PEER, Map.of(SERVER, new ServerLoad(5, 0, 18_000, 0)), START);
        tracker.expire(START.plus(LoadTracker.PEER_LOAD_TTL));
        assertThat(tracker.total(SERVER).kvTokens()).isEqualTo(18_000);
        tracker.expire(START.plus(LoadTracker.PEER_LOAD_TTL).plusMillis(1));
        assertThat(tracker.total(SERVER)).isEqualTo(ServerLoad.NONE);
    }

    @Test
    void totalsReflectEveryChange() {
        tracker.replacePeerLoads(PEER, Map.of(SERVER, new ServerLoad(2, 10, 20, 0)), START);
        tracker.replacePeerLoads(PEER, Map.of(SERVER, new ServerLoad(1, 5, 10, 0)), START);
        tracker.add(SERVER, new ServerLoad(1, 0, 3000, 0));
        tracker.replace(SERVER, new ServerLoad(1, 0, 3000, 0), new ServerLoad(1, 0, 3110, 0));
        assertThat(tracker.total(SERVER)).isEqualTo(new ServerLoad(2, 5, 3120, 0));
        assertThat(tracker.own(SERVER)).isEqualTo(new ServerLoad(1, 0, 3110, 0));
        tracker.replacePeerLoads(PEER, Map.of(), START);
        tracker.subtract(SERVER, new ServerLoad(1, 0, 3110, 0));
        assertThat(tracker.total(SERVER)).isEqualTo(ServerLoad.NONE);
    }

    @Test
    void onlyTakenCapacityIsReportedImmediately() {
        List<Urgency> reported = new ArrayList<>();
        tracker.onOwnChange(reported::add);
        tracker.add(SERVER, new ServerLoad(1, 0, 3000, 0));
        tracker.add(SERVER, new ServerLoad(1, 0, 0, 0));
        tracker.subtract(SERVER, new ServerLoad(1, 0, 3000, 0));
        assertThat(reported)
                .containsExactly(Urgency.IMMEDIATE, Urgency.WITH_NEXT_REPORT, Urgency.SOON)
                .inOrder();
    }
}
