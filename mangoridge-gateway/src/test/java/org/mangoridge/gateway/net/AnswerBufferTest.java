package org.mangoridge.gateway.net;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.verdict.Verdict;

import static com.google.common.truth.Truth.assertThat;

class AnswerBufferTest {

    private static final HostPort FAULTY = new HostPort("127.0.0.1", 1);
    private static final HostPort SOUND = new HostPort("127.0.0.1", 2);
    private static final int LIMIT_BYTES = 1 << 20;

    private final List<Runnable> tasks = new ArrayList<>();
    private final List<CallFailure> lost = new ArrayList<>();
    private final BufferMemory memory =
            BufferMemory.of(LIMIT_BYTES, tasks::add, (peer, bytes, peerBytes, usedBytes) -> {});

    private AnswerBuffer open(HostPort peer) {
        return AnswerBuffer.open(memory, peer, LIMIT_BYTES, lost::add);
    }

    private static ByteBuf bytes(int count) {
        return Unpooled.wrappedBuffer(new byte[count]);
    }

    private void runTasks() {
        tasks.forEach(Runnable::run);
        tasks.clear();
    }

    /** Buffers that doubled held up to twice what was received, and three times that while they were copied. */
    @ParameterizedTest
    @ValueSource(ints = {1, 64, 5000, 16_384})
    void holdsLittleMoreThanItHasReceived(int part) {
        AnswerBuffer buffer = open(SOUND);
        int received = 0;
        while (received + part <= 700_000) {
            buffer.add(bytes(part));
            received += part;
            assertThat(memory.usedBytes()).isAtLeast(received);
            assertThat(memory.usedBytes()).isAtMost(received + Math.max(256, Math.min(received, 64 << 10)));
        }
        assertThat(buffer.bytes()).hasLength(received);
        assertThat(lost).isEmpty();
    }

    /** The end of an answer that was evicted passed for the end of a whole one. */
    @Test
    void anEvictedAnswerIsLostAndNeverWhole() {
        AnswerBuffer evicted = open(FAULTY);
        evicted.add(bytes(600_000));
        AnswerBuffer sound = open(SOUND);
        sound.add(bytes(500_000));
        assertThat(evicted.isEvicted()).isTrue();
        assertThat(evicted.bytes()).isEmpty();
        evicted.add(bytes(1));
        assertThat(lost).isEmpty();
        runTasks();
        assertThat(lost).hasSize(1);
        assertThat(lost.getFirst().progress().verdict()).isEqualTo(Verdict.RAN);
        assertThat(sound.bytes()).hasLength(500_000);
        assertThat(memory.usedBytes()).isEqualTo(500_000);
    }

    @Test
    void anAnswerThatWasHandedOverIsNotEvicted() {
        AnswerBuffer whole = open(FAULTY);
        whole.add(bytes(900_000));
        ByteBuf taken = whole.take();
        assertThat(memory.usedBytes()).isEqualTo(0);
        open(SOUND).add(bytes(LIMIT_BYTES));
        runTasks();
        assertThat(taken.readableBytes()).isEqualTo(900_000);
        taken.release();
        assertThat(lost).isEmpty();
    }

    @Test
    void anAnswerThatIsTooLargeIsLostOnce() {
        AnswerBuffer buffer = AnswerBuffer.open(memory, FAULTY, 10, lost::add);
        buffer.add(bytes(10));
        assertThat(lost).isEmpty();
        buffer.add(bytes(1));
        buffer.add(bytes(1));
        assertThat(lost).hasSize(1);
        assertThat(memory.usedBytes()).isEqualTo(0);
    }

    @Test
    void anEvictedAnswerWhoseCallHasEndedIsNotToldOf() {
        AnswerBuffer evicted = open(FAULTY);
        evicted.add(bytes(LIMIT_BYTES));
        open(SOUND).add(bytes(5000));
        evicted.close();
        runTasks();
        assertThat(lost).isEmpty();
        assertThat(memory.usedBytes()).isEqualTo(5000);
    }
}
