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

/** Reads the states of engines and sends orders to them; calls block. */
final class EngineOrderClient {

    private static final int HTTP_CONFLICT = 409;

    private final EngineDirectory engines;

    EngineOrderClient(EngineDirectory engines) {
        this.engines = engines;
    }

    /** Returns the state of the engine at {@code address}, or empty if the call failed. */
    Optional<EngineFacts> readState(HostPort address) {
        Result<EngineMessages.EngineState, EngineError> state =
                engines.engineAt(address).state();
        return state.isOk() ? Optional.of(engineFacts(state.value())) : Optional.empty();
    }

    /** Sends an order to the engine at {@code address} and returns its outcome. */
    OrderOutcome send(HostPort address, EngineOrder order) {
        ModelEngine engine = engines.engineAt(address);
        return switch (engine.order(orderRequest(order))) {
            case Result.Ok<EngineMessages.EngineState, EngineError> ok ->
                new OrderOutcome.Obeyed(engineFacts(ok.value()));
            case Result.Err<EngineMessages.EngineState, EngineError> err ->
                switch (err.error()) {
                    case EngineError.Rejected rejected
                    when rejected.status() == HTTP_CONFLICT -> fencingConflict(engine, rejected);
                    case EngineError other
                    when other.verdict() == Verdict.NOT_RUN -> new OrderOutcome.Refused(other.detail());
                    case EngineError other -> new OrderOutcome.Unknown(other.detail());
                };
        };
    }

    /** Returns the outcome of an order that an engine rejected for its outdated fencing token. */
    private static OrderOutcome fencingConflict(ModelEngine engine, EngineError.Rejected rejected) {
        Result<EngineMessages.EngineState, EngineError> state = engine.state();
        return state.isOk()
                ? new OrderOutcome.OldFencing(state.value().lastFencing())
                : new OrderOutcome.Refused(rejected.detail());
    }

    private static EngineMessages.OrderRequest orderRequest(EngineOrder order) {
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

    private static EngineFacts engineFacts(EngineMessages.EngineState state) {
        return new EngineFacts(
                Values.choice(state.role(), ServerRole.class),
                Optional.ofNullable(state.model()).orElse(""),
                Optional.ofNullable(state.version()).orElse(""),
                state.lastFencing(),
                state.busy());
    }
}
