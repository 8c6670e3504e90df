package org.mangoridge.entry.orders;

import java.util.Optional;

import org.mangoridge.core.Result;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.verdict.Verdict;
import org.mangoridge.engine.EngineDirectory;
import org.mangoridge.engine.EngineError;
import org.mangoridge.engine.EngineMessages;
import org.mangoridge.engine.ModelEngine;
import org.mangoridge.orders.plan.EngineFacts;
import org.mangoridge.orders.plan.EngineOrder;
import org.mangoridge.orders.plan.OrderOutcome;
import org.mangoridge.settings.deployment.ServerRole;
import org.mangoridge.settings.ini.Values;

/** Reads engines' states and gives them orders; calls block. */
final class EngineOrderClient {

    private static final int CONFLICT = 409;

    private final EngineDirectory engines;

    EngineOrderClient(EngineDirectory engines) {
        this.engines = engines;
    }

    /** Reads what the engine at {@code address} says of itself; empty if it does not answer. */
    Optional<EngineFacts> readState(HostPort address) {
        Result<EngineMessages.EngineState, EngineError> state =
                engines.engineAt(address).state();
        return state.isOk() ? Optional.of(facts(state.value())) : Optional.empty();
    }

    /** Gives an order to the engine at {@code address}. */
    OrderOutcome send(HostPort address, EngineOrder order) {
        ModelEngine engine = engines.engineAt(address);
        return switch (engine.order(message(order))) {
            case Result.Ok<EngineMessages.EngineState, EngineError> ok -> new OrderOutcome.Obeyed(facts(ok.value()));
            case Result.Err<EngineMessages.EngineState, EngineError> err ->
                switch (err.error()) {
                    case EngineError.Rejected rejected
                    when rejected.status() == CONFLICT -> oldFencing(engine, rejected);
                    case EngineError other
                    when other.verdict() == Verdict.NOT_RUN -> new OrderOutcome.Refused(other.detail());
                    case EngineError other -> new OrderOutcome.Unknown(other.detail());
                };
        };
    }

    private static OrderOutcome oldFencing(ModelEngine engine, EngineError.Rejected rejected) {
        Result<EngineMessages.EngineState, EngineError> state = engine.state();
        return state.isOk()
                ? new OrderOutcome.OldFencing(state.value().lastFencing())
                : new OrderOutcome.Refused(rejected.detail());
    }

    private static EngineMessages.OrderRequest message(EngineOrder order) {
        return switch (order) {
            case EngineOrder.LoadModel load ->
                new EngineMessages.OrderRequest(
                        load.id(), load.fencing().value(), "load-model", load.model(), load.version(), null);
            case EngineOrder.ChangeRole change ->
                new EngineMessages.OrderRequest(
                        change.id(),
                        change.fencing().value(),
                        "change-role",
                        null,
                        null,
                        Values.choiceName(change.role()));
        };
    }

    private static EngineFacts facts(EngineMessages.EngineState state) {
        return new EngineFacts(
                Values.choice(state.role(), ServerRole.class),
                Optional.ofNullable(state.model()).orElse(""),
                Optional.ofNullable(state.version()).orElse(""),
                state.lastFencing(),
                state.busy());
    }
}
