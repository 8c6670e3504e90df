package org.mangoridge.standin.engine;

import java.time.Duration;
import java.util.Set;

import org.mangoridge.engine.EngineMessages.EngineState;
import org.mangoridge.engine.EngineMessages.OrderRequest;

/** Executes orders that change an engine's role or model, one at a time, and holds the resulting state. */
final class EngineOrders {

    private static final Set<String> LOAD_KINDS = Set.of("load-model", "load-adapter");
    private static final String CHANGE_ROLE = "change-role";
    private static final Set<String> ROLES = Set.of("prefill", "decode", "both");

    /** The outcome of submitting an order. */
    enum Outcome {
        STARTED,
        DUPLICATE,
        STALE_FENCING,
        BUSY,
        MALFORMED
    }

    private final boolean checksFencing;
    private final Duration modelLoadTime;
    private String role;
    private String model;
    private String version;
    private long lastFencing;
    private OrderRequest running;
    private Duration runningUntil = Duration.ZERO;
    private String lastOrder;

    EngineOrders(EngineProfile profile) {
        this.checksFencing = profile.checksFencing();
        this.modelLoadTime = profile.rates().modelLoadTime();
        this.role = profile.role();
        this.model = profile.model();
        this.version = profile.version();
    }

    /** Starts an order unless it is a duplicate, has a stale fencing token, or another order is running. */
    Outcome submit(OrderRequest order, boolean ignoreFencing, double slowFactor, Duration now) {
        advance(now);
        if (!isWellFormed(order)) {
            return Outcome.MALFORMED;
        }
        if (order.id().equals(lastOrder) || (running != null && running.id().equals(order.id()))) {
            return Outcome.DUPLICATE;
        }
        if (checksFencing && !ignoreFencing) {
            if (order.fencing() < lastFencing) {
                return Outcome.STALE_FENCING;
            }
            lastFencing = order.fencing();
        }
        if (running != null) {
            return Outcome.BUSY;
        }
        running = order;
        runningUntil = now.plus(
                LOAD_KINDS.contains(order.kind()) ? EngineRates.scaled(modelLoadTime, slowFactor) : Duration.ZERO);
        advance(now);
        return Outcome.STARTED;
    }

    /** Completes the running order if it ends by {@code now}. */
    void advance(Duration now) {
        if (running == null || runningUntil.compareTo(now) > 0) {
            return;
        }
        switch (running.kind()) {
            case "load-model" -> {
                model = running.model();
                version = running.version();
            }
            case CHANGE_ROLE -> role = running.role();
            default -> {
                // Loading an adapter leaves the model unchanged.
            }
        }
        lastOrder = running.id();
        running = null;
    }

    /** Returns when the running order ends, or the last one ended. */
    Duration runningUntil() {
        return runningUntil;
    }

    EngineState state(Duration now) {
        advance(now);
        return new EngineState(role, model, version, lastFencing, lastOrder, running != null);
    }

    private static boolean isWellFormed(OrderRequest order) {
        if (order.id() == null || order.kind() == null) {
            return false;
        }
        return LOAD_KINDS.contains(order.kind())
                ? order.model() != null
                : order.kind().equals(CHANGE_ROLE) && order.role() != null && ROLES.contains(order.role());
    }
}
