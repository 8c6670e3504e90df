package org.mangoridge.gateway.balance;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.gateway.balance.LoadTracker.Urgency;

import static com.google.common.truth.Truth.assertThat;

class LoadTrackerTest {

    private static final ServerId SERVER = ServerId.of("s-1");
    private static final InstanceId PEER = InstanceId.of("peer");
    private static final Duration START = Duration.ofSeconds(10);

    private final LoadTracker book = LoadTracker.create();

    @Test
    void loadsOfAllInstancesAddUp() {
        book.add(SERVER, new ServerLoad(1, 100, 200));
        book.replacePeerLoads(PEER, Map.of(SERVER, new ServerLoad(2, 10, 20)), START);
        assertThat(book.total(SERVER)).isEqualTo(new ServerLoad(3, 110, 220));
        assertThat(book.own(SERVER)).isEqualTo(new ServerLoad(1, 100, 200));
    }

    @Test
    void whatWasAddedAndTakenBackLeavesNothing() {
        book.add(SERVER, new ServerLoad(1, 100, 200));
        book.subtract(SERVER, new ServerLoad(1, 100, 200));
        assertThat(book.ownLoads()).isEmpty();
    }

    /** Streams of a machine that lost power go on at the servers, since nobody closes their connections. */
    @Test
    void aLostPeersStreamsCountForAWhile() {
        book.replacePeerLoads(PEER, Map.of(SERVER, new ServerLoad(5, 0, 18_000)), START);
        book.expire(START.plus(LoadTracker.PEER_LOAD_TTL));
        assertThat(book.total(SERVER).kvTokens()).isEqualTo(18_000);
        book.expire(START.plus(LoadTracker.PEER_LOAD_TTL).plusMillis(1));
        assertThat(book.total(SERVER)).isEqualTo(ServerLoad.NONE);
    }

    @Test
    void sumsFollowEveryChange() {
        book.replacePeerLoads(PEER, Map.of(SERVER, new ServerLoad(2, 10, 20)), START);
        book.replacePeerLoads(PEER, Map.of(SERVER, new ServerLoad(1, 5, 10)), START);
        book.add(SERVER, new ServerLoad(1, 0, 3000));
        book.replace(SERVER, new ServerLoad(1, 0, 3000), new ServerLoad(1, 0, 3110));
        assertThat(book.total(SERVER)).isEqualTo(new ServerLoad(2, 5, 3120));
        assertThat(book.own(SERVER)).isEqualTo(new ServerLoad(1, 0, 3110));
        book.replacePeerLoads(PEER, Map.of(), START);
        book.subtract(SERVER, new ServerLoad(1, 0, 3110));
        assertThat(book.total(SERVER)).isEqualTo(ServerLoad.NONE);
    }

    @Test
    void onlyRoomThatIsTakenIsToldAtOnce() {
        List<Urgency> told = new ArrayList<>();
        book.onOwnChange(told::add);
        book.add(SERVER, new ServerLoad(1, 0, 3000));
        book.add(SERVER, new ServerLoad(1, 0, 0));
        book.subtract(SERVER, new ServerLoad(1, 0, 3000));
        assertThat(told)
                .containsExactly(Urgency.IMMEDIATE, Urgency.WITH_NEXT_REPORT, Urgency.SOON)
                .inOrder();
    }
}
