package org.mangoridge.gateway.stage;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.junit.jupiter.api.Test;
import org.mangoridge.core.Result;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.time.VirtualClock;
import org.mangoridge.gateway.balance.LoadTracker;
import org.mangoridge.gateway.directory.ServerEntry;
import org.mangoridge.objects.Precondition;
import org.mangoridge.objects.WriteOutcome;
import org.mangoridge.orders.lease.LeaseEvent;
import org.mangoridge.orders.lease.LeaseRecord;

import static com.google.common.truth.Truth.assertThat;

class StageControllerTest {

    private static final Duration APART = Duration.ofSeconds(3);
    private static final Duration TICK = Duration.ofMillis(100);

    private final VirtualClock clock = VirtualClock.create();
    private final List<StageOrder> given = new ArrayList<>();
    private final List<LeaseRecord> written = new ArrayList<>();
    private final List<ServerEntry> servers = StageRebalancerTest.servers(3, 3);
    private StageOrderOutcome outcome = StageOrderOutcome.ACCEPTED;

    private final LeaseStore store = new LeaseStore() {
        @Override
        public void read(Consumer<Result<Optional<LeaseEvent.StoredLease>, String>> answer) {
            answer.accept(Result.ok(
                    written.isEmpty()
                            ? Optional.empty()
                            : Optional.of(new LeaseEvent.StoredLease(written.getLast(), written.size()))));
        }

        @Override
        public void write(LeaseRecord record, Precondition condition, Consumer<WriteOutcome> answer) {
            written.add(record);
            answer.accept(new WriteOutcome.Written(written.size()));
        }
    };

    private final StageController shell = StageController.create(
            InstanceId.of("entry-1"),
            APART,
            clock,
            (event, fields) -> {},
            LoadTracker.create(),
            (order, answer) -> {
                given.add(order);
                answer.accept(outcome);
            },
            store);

    private void run(Duration time, boolean candidate) {
        for (Duration at = Duration.ZERO; at.compareTo(time) < 0; at = at.plus(TICK)) {
            shell.tick(() -> servers, candidate);
            clock.advance(TICK);
        }
    }

    @Test
    void oneThatIsNoCandidateWritesAndOrdersNothing() {
        run(Duration.ofSeconds(20), false);
        assertThat(written).isEmpty();
        assertThat(given).isEmpty();
    }

    @Test
    void theHolderOrdersUnderItsFencingToken() {
        run(Duration.ofSeconds(10), true);
        assertThat(given).isNotEmpty();
        assertThat(given.getFirst().fencing().value())
                .isEqualTo(written.getFirst().fencing());
    }

    /** A server that has obeyed a later holder shows that the lease has passed on, whatever the store last said. */
    @Test
    void aHolderWhoseTokenIsOldGivesNoMoreOrdersUnderIt() {
        outcome = StageOrderOutcome.OLD_FENCING;
        run(Duration.ofSeconds(60), true);
        assertThat(given.size()).isAtLeast(2);
        for (int i = 1; i < given.size(); i++) {
            assertThat(given.get(i).fencing().value())
                    .isGreaterThan(given.get(i - 1).fencing().value());
        }
    }
}
