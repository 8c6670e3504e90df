package org.mangoridge.dispatch.directory;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.net.HostPort;

import static com.google.common.truth.Truth.assertThat;

class ServerDirectoryTest {

    private static final ServiceId SERVICE = ServiceId.of("desk");
    private static final Duration START = Duration.ofSeconds(100);
    private static final Duration AFTER_GRACE =
            START.plus(ServerDirectory.RELISTING_GRACE).plusSeconds(1);

    private final ServerDirectory directory = ServerDirectory.create();

    static ServerEntry entry(String id, boolean leaving, long startedMillis) {
        return new ServerEntry(
                ServerId.of(id),
                SERVICE,
                new HostPort("127.0.0.1", 80),
                AvailabilityZone.of("a"),
                6,
                leaving,
                ServerStage.NONE,
                startedMillis);
    }

    @BeforeEach
    void listServersWithReachableStore() {
        directory.storeReachable(true, START);
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
        directory.storeReachable(false, AFTER_GRACE);
        Duration recovered = AFTER_GRACE.plusSeconds(5);
        directory.storeReachable(true, recovered);
        assertThat(directory.replaceAll(List.of(entry("s-2", false, 1)), recovered))
                .isEmpty();
        assertThat(usable()).containsExactly("s-1", "s-2");
        assertThat(directory.expire(recovered.plus(ServerDirectory.RELISTING_GRACE)))
                .hasSize(1);
        assertThat(usable()).containsExactly("s-2");
    }

    @Test
    void aServerListedAgainWithinTheGraceStays() {
        directory.storeReachable(false, AFTER_GRACE);
        Duration recovered = AFTER_GRACE.plusSeconds(5);
        directory.storeReachable(true, recovered);
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
}
