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
import org.mangoridge.dispatch.balance.LoadTracker;
import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.follow.StoreEra;
import org.mangoridge.objects.Precondition;
import org.mangoridge.objects.WriteOutcome;
import org.mangoridge.orders.lease.LeaseEvent;
import org.mangoridge.orders.lease.LeaseRecord;

import static com.google.common.truth.Truth.assertThat;

class StageControllerTest {

    private static final Duration HOLDER_SEPARATION = Duration.ofSeconds(3);
    private static final Duration TICK = Duration.ofMillis(100);

    private final VirtualClock clock = VirtualClock.create();
    private final List<StageOrder> sent = new ArrayList<>();
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

    private Runnable beforeSend = () -> {};

    private final StageController controller = StageController.create(
            InstanceId.of("entry-1"),
            HOLDER_SEPARATION,
            clock,
            (event, fields) -> {},
            LoadTracker.create(),
            (order, permitted, answer) -> {
                beforeSend.run();
                if (permitted.getAsBoolean()) {
                    sent.add(order);
                }
                answer.accept(outcome);
            },
            store,
            StoreEra.create());

    private void run(Duration time, boolean candidate) {
        for (Duration at = Duration.ZERO; at.compareTo(time) < 0; at = at.plus(TICK)) {
            controller.tick(() -> servers, candidate);
            clock.advance(TICK);
        }
    }

    @Test
    void aNonCandidateWritesNoLeaseAndSendsNoOrders() {
        run(Duration.ofSeconds(20), false);
        assertThat(written).isEmpty();
        assertThat(sent).isEmpty();
    }

    @Test
    void theHolderSendsOrdersWithItsFencingToken() {
        run(Duration.ofSeconds(10), true);
        assertThat(sent).isNotEmpty();
        assertThat(sent.getFirst().fencing().value())
                .isEqualTo(written.getFirst().fencing());
    }

    /** An order refused for its fencing token proves that a later holder exists, even if the store has not shown it. */
    @Test
    void aHolderWithAnOldTokenSendsNoMoreOrdersWithIt() {
        outcome = StageOrderOutcome.OLD_FENCING;
        run(Duration.ofSeconds(60), true);
        assertThat(sent.size()).isAtLeast(2);
        for (int i = 1; i < sent.size(); i++) {
            assertThat(sent.get(i).fencing().value())
                    .isGreaterThan(sent.get(i - 1).fencing().value());
        }
    }

    /** The process is suspended after it has read the state of a server; the monotonic clock does not count that time. */
    @Test
    void anOrderWhoseLeaseRanOutDuringASuspensionIsNotSent() {
        beforeSend = () -> clock.suspend(Duration.ofSeconds(30));
        run(Duration.ofSeconds(20), true);
        assertThat(sent).isEmpty();
    }

    @Test
    void aLeaseIsGivenUpAfterASuspension() {
        run(Duration.ofSeconds(5), true);
        int orders = sent.size();
        clock.suspend(Duration.ofSeconds(30));
        controller.tick(() -> servers, false);
        clock.advance(TICK);
        run(Duration.ofSeconds(1), false);
        assertThat(sent).hasSize(orders);
    }
}
