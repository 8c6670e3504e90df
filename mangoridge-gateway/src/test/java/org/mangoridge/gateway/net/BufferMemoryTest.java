package org.mangoridge.gateway.net;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.mangoridge.core.net.HostPort;

import static com.google.common.truth.Truth.assertThat;

class BufferMemoryTest {

    private static final HostPort FAULTY = new HostPort("127.0.0.1", 1);
    private static final HostPort SOUND = new HostPort("127.0.0.1", 2);

    private final List<Runnable> tasks = new ArrayList<>();
    private final List<HostPort> told = new ArrayList<>();
    private final List<String> evicted = new ArrayList<>();
    private final BufferMemory memory =
            BufferMemory.of(100, tasks::add, (peer, bytes, peerBytes, usedBytes) -> told.add(peer));

    private BufferMemory.Buffer open(HostPort peer, String name) {
        return memory.open(peer, () -> evicted.add(name));
    }

    private void runTasks() {
        tasks.forEach(Runnable::run);
        tasks.clear();
    }

    /** Many buffers, each within its own bound, filled the memory in the sum. */
    @Test
    void theSumOfAllBuffersIsBounded() {
        for (int i = 0; i < 1000; i++) {
            open(FAULTY, "buffer " + i).hold(i % 40);
            assertThat(memory.usedBytes()).isAtMost(100);
        }
    }

    /** A sound neighbour lost its answer to the bytes of a faulty server. */
    @Test
    void thePeerThatHoldsMostLosesItsLargestBuffer() {
        BufferMemory.Buffer sound = open(SOUND, "sound");
        assertThat(sound.hold(40)).isTrue();
        assertThat(open(FAULTY, "small").hold(25)).isTrue();
        assertThat(open(FAULTY, "large").hold(30)).isTrue();
        assertThat(sound.hold(50)).isTrue();
        runTasks();
        assertThat(evicted).containsExactly("large");
        assertThat(told).containsExactly(FAULTY);
        assertThat(memory.usedBytes()).isEqualTo(75);
    }

    @Test
    void aBufferThatIsEvictedByItsOwnGrowthMustNotGrow() {
        BufferMemory.Buffer only = open(FAULTY, "only");
        assertThat(only.hold(101)).isFalse();
        assertThat(only.isClosed()).isTrue();
        assertThat(memory.usedBytes()).isEqualTo(0);
        assertThat(only.hold(1)).isFalse();
        runTasks();
        assertThat(evicted).containsExactly("only");
    }

    @Test
    void closedBuffersGiveTheirBytesBackOnce() {
        BufferMemory.Buffer buffer = open(SOUND, "closed");
        buffer.hold(60);
        buffer.hold(0);
        buffer.hold(70);
        buffer.close();
        buffer.close();
        assertThat(memory.usedBytes()).isEqualTo(0);
        runTasks();
        assertThat(evicted).isEmpty();
    }
}
