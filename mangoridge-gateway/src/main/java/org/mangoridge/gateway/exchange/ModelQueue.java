package org.mangoridge.gateway.exchange;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.mangoridge.core.id.ServiceId;
import org.mangoridge.dispatch.balance.AdmissionQueue;
import org.mangoridge.dispatch.balance.AdmissionQueue.Rank;
import org.mangoridge.dispatch.balance.AdmissionQueue.Waiter;
import org.mangoridge.dispatch.balance.EnginePlacement;
import org.mangoridge.dispatch.balance.QueueDeadlines;
import org.mangoridge.dispatch.balance.ReservationPace;
import org.mangoridge.dispatch.balance.RetryAfterPolicy;
import org.mangoridge.dispatch.config.Route;

/** Queues requests of model services until a server has capacity for them. */
final class ModelQueue {

    /** Maximum number of waiting requests per service and instance; in a longer queue, callers would time out. */
    private static final int MAX_WAITING_PER_SERVICE = 256;
    /** Interval of placement attempts while requests wait; load reports of peers arrive about as often. */
    private static final Duration POLL_INTERVAL = Duration.ofMillis(15);

    private final GatewayContext context;
    private final Map<ServiceId, AdmissionQueue<ModelExchange>> queues = new HashMap<>();
    private final Map<ServiceId, ReservationPace> reservationPaces = new HashMap<>();
    private final RetryAfterPolicy retryAfterPolicy = RetryAfterPolicy.create();
    private boolean pollScheduled;
    private boolean placing;

    ModelQueue(GatewayContext context) {
        this.context = context;
        context.metrics().show("reservations.interval_ms", () -> reservationPaces.values().stream()
                .mapToLong(pace -> pace.interval().toMillis())
                .max()
                .orElse(0));
    }

    /** Adds a request; returns false if the queue of the service is full. */
    boolean offer(ServiceId service, ModelExchange exchange, Route route, QueueDeadlines deadlines) {
        AdmissionQueue<ModelExchange> queue =
                queues.computeIfAbsent(service, id -> AdmissionQueue.create(MAX_WAITING_PER_SERVICE));
        boolean accepted = queue.offer(new Waiter<>(
                exchange,
                new Rank(
                        exchange.scope().priority(),
                        route.priority(),
                        exchange.scope().access().workspaceId()),
                deadlines.arrived(),
                deadlines.onTimeUntil(),
                deadlines.giveUpAt()));
        if (accepted) {
            schedulePoll();
        }
        return accepted;
    }

    /** Removes a request that ends, such as one whose caller has disconnected; if it has not run, it is not charged. */
    void remove(ServiceId service, ModelExchange exchange) {
        AdmissionQueue<ModelExchange> queue = queues.get(service);
        if (queue != null && queue.remove(exchange)) {
            exchange.scope().refundQuota();
        }
    }

    /** Returns the number of requests that wait for a service. */
    int size(ServiceId service) {
        AdmissionQueue<ModelExchange> queue = queues.get(service);
        return queue == null ? 0 : queue.size();
    }

    /** Returns how many of them come before a request that comes now, see {@link AdmissionQueue#countAhead}. */
    int countAhead(ServiceId service, int priority, int routePriority, Duration now) {
        AdmissionQueue<ModelExchange> queue = queues.get(service);
        return queue == null ? 0 : queue.countAhead(priority, routePriority, now);
    }

    /** Returns whether the queue of a service takes no further request. */
    boolean isFull(ServiceId service) {
        return size(service) >= MAX_WAITING_PER_SERVICE;
    }

    /** Returns the pace of the reservations that are requested for a service. */
    ReservationPace reservationPace(ServiceId service) {
        return reservationPaces.computeIfAbsent(service, id -> ReservationPace.create());
    }

    /** Returns the policy that determines when refused callers retry. */
    RetryAfterPolicy retryAfterPolicy() {
        return retryAfterPolicy;
    }

    /** Places the waiting requests for which there is capacity, and refuses those that have waited too long. */
    void placeWaitingRequests() {
        if (placing || queues.values().stream().allMatch(queue -> queue.size() == 0)) {
            return;
        }
        placing = true;
        try {
            // A copy, since a refusal lets the next request of its connection begin, which may add a queue.
            List.copyOf(queues.values()).forEach(this::placeFrom);
        } finally {
            placing = false;
        }
    }

    private void placeFrom(AdmissionQueue<ModelExchange> queue) {
        Duration now = context.now();
        queue.expire(now).forEach(waiter -> run(waiter.item(), waiter.item()::waitTimedOut));
        for (Waiter<ModelExchange> waiter :
                queue.inPlacementOrder(workspace -> context.quotas().serviceReceived(workspace, now), now)) {
            run(waiter.item(), () -> placeOrRefuse(waiter.item(), queue));
        }
    }

    /** Runs a step of a request so that its failure ends this request only, not the one whose end has freed capacity. */
    private static void run(ModelExchange exchange, Runnable step) {
        exchange.scope().guard().run(step);
    }

    private static void placeOrRefuse(ModelExchange exchange, AdmissionQueue<ModelExchange> queue) {
        if (exchange.refuseIfQuarantined() || exchange.refuseIfAllPaused() || exchange.refuseIfTooLate()) {
            return;
        }
        Optional<EnginePlacement> placement = exchange.findPlacement();
        if (placement.isPresent() && queue.remove(exchange)) {
            exchange.place(placement.get());
        }
    }

    private void schedulePoll() {
        if (!pollScheduled) {
            pollScheduled = true;
            context.schedule(POLL_INTERVAL, this::poll);
        }
    }

    private void poll() {
        pollScheduled = false;
        try {
            placeWaitingRequests();
        } finally {
            if (queues.values().stream().anyMatch(queue -> queue.size() > 0)) {
                schedulePoll();
            }
        }
    }
}
