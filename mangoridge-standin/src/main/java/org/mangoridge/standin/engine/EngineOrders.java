package org.mangoridge.standin.engine;

import java.time.Duration;
import java.util.Set;

import org.mangoridge.engine.EngineMessages.EngineState;
import org.mangoridge.engine.EngineMessages.OrderRequest;

/** The orders that an engine obeys, one at a time, and what they made of it. */
final class EngineOrders {

    private static final Set<String> LOADS = Set.of("load-model", "load-adapter");
    private static final String CHANGE_ROLE = "change-role";
    private static final Set<String> ROLES = Set.of("prefill", "decode", "both");

    /** How an order is taken. */
    enum Taken {
        BEGUN,
        REPEATED,
        OLD_FENCING,
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
    private Duration until = Duration.ZERO;
    private String lastOrder;

    EngineOrders(EngineProfile profile) {
        this.checksFencing = profile.checksFencing();
        this.modelLoadTime = profile.rates().modelLoadTime();
        this.role = profile.role();
        this.model = profile.model();
        this.version = profile.version();
    }

    /** Begins an order unless it was given already, is old, or another is being carried out. */
    Taken take(OrderRequest order, boolean ignoreFencing, double slowFactor, Duration now) {
        advance(now);
        if (!isWellFormed(order)) {
            return Taken.MALFORMED;
        }
        if (order.id().equals(lastOrder) || (running != null && running.id().equals(order.id()))) {
            return Taken.REPEATED;
        }
        if (checksFencing && !ignoreFencing) {
            if (order.fencing() < lastFencing) {
                return Taken.OLD_FENCING;
            }
            lastFencing = order.fencing();
        }
        if (running != null) {
            return Taken.BUSY;
        }
        running = order;
        until = now.plus(LOADS.contains(order.kind()) ? EngineRates.scaled(modelLoadTime, slowFactor) : Duration.ZERO);
        advance(now);
        return Taken.BEGUN;
    }

    /** Completes the order that is done by {@code now}. */
    void advance(Duration now) {
        if (running == null || until.compareTo(now) > 0) {
            return;
        }
        switch (running.kind()) {
            case "load-model" -> {
                model = running.model();
                version = running.version();
            }
            case CHANGE_ROLE -> role = running.role();
            default -> {
                // an adapter stands beside the model
            }
        }
        lastOrder = running.id();
        running = null;
    }

    /** Returns when the order being carried out is done. */
    Duration until() {
        return until;
    }

    EngineState state(Duration now) {
        advance(now);
        return new EngineState(role, model, version, lastFencing, lastOrder, running != null);
    }

    private static boolean isWellFormed(OrderRequest order) {
        if (order.id() == null || order.kind() == null) {
            return false;
        }
        return LOADS.contains(order.kind())
                ? order.model() != null
                : order.kind().equals(CHANGE_ROLE) && order.role() != null && ROLES.contains(order.role());
    }
}
