package org.mangoridge.gateway.balance;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.gateway.balance.LoadBook.Urgency;

import static com.google.common.truth.Truth.assertThat;

class LoadBookTest {

    private static final ServerId SERVER = ServerId.of("s-1");
    private static final InstanceId PEER = InstanceId.of("peer");
    private static final Duration START = Duration.ofSeconds(10);

    private final LoadBook book = LoadBook.create();

    @Test
    void loadsOfAllInstancesAddUp() {
        book.add(SERVER, new LoadShare(1, 100, 200));
        book.peerReported(PEER, Map.of(SERVER, new LoadShare(2, 10, 20)), START);
        assertThat(book.total(SERVER)).isEqualTo(new LoadShare(3, 110, 220));
        assertThat(book.own(SERVER)).isEqualTo(new LoadShare(1, 100, 200));
    }

    @Test
    void whatWasAddedAndTakenBackLeavesNothing() {
        book.add(SERVER, new LoadShare(1, 100, 200));
        book.subtract(SERVER, new LoadShare(1, 100, 200));
        assertThat(book.ownLoads()).isEmpty();
    }

    /** Streams of a machine that lost power go on at the servers, since nobody closes their connections. */
    @Test
    void aLostPeersStreamsCountForAWhile() {
        book.peerReported(PEER, Map.of(SERVER, new LoadShare(5, 0, 18_000)), START);
        book.expire(START.plus(LoadBook.PEER_STALE));
        assertThat(book.total(SERVER).kvTokens()).isEqualTo(18_000);
        book.expire(START.plus(LoadBook.PEER_STALE).plusMillis(1));
        assertThat(book.total(SERVER)).isEqualTo(LoadShare.NONE);
    }

    @Test
    void sumsFollowEveryChange() {
        book.peerReported(PEER, Map.of(SERVER, new LoadShare(2, 10, 20)), START);
        book.peerReported(PEER, Map.of(SERVER, new LoadShare(1, 5, 10)), START);
        book.add(SERVER, new LoadShare(1, 0, 3000));
        book.recount(SERVER, new LoadShare(1, 0, 3000), new LoadShare(1, 0, 3110));
        assertThat(book.total(SERVER)).isEqualTo(new LoadShare(2, 5, 3120));
        assertThat(book.own(SERVER)).isEqualTo(new LoadShare(1, 0, 3110));
        book.peerReported(PEER, Map.of(), START);
        book.subtract(SERVER, new LoadShare(1, 0, 3110));
        assertThat(book.total(SERVER)).isEqualTo(LoadShare.NONE);
    }

    @Test
    void onlyRoomThatIsTakenIsToldAtOnce() {
        List<Urgency> told = new ArrayList<>();
        book.onOwnChange(told::add);
        book.add(SERVER, new LoadShare(1, 0, 3000));
        book.add(SERVER, new LoadShare(1, 0, 0));
        book.subtract(SERVER, new LoadShare(1, 0, 3000));
        assertThat(told)
                .containsExactly(Urgency.AT_ONCE, Urgency.WITH_THE_NEXT, Urgency.SOON)
                .inOrder();
    }
}
