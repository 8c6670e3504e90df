package org.mangoridge.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.mangoridge.bench.scenario.FaultStep;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.time.Clock;
import org.mangoridge.standin.engine.EngineCounts;
import org.mangoridge.standin.engine.EngineProfile;
import org.mangoridge.standin.engine.EngineStandIn;

/** The engines of one deployment by their names. */
final class EngineFleet {

    private static final HostPort ANY_PORT = HostPort.parse("127.0.0.1:0");

    private final Map<String, EngineStandIn> engines = new LinkedHashMap<>();

    /** Starts an engine and returns its address. */
    HostPort start(String name, EngineProfile profile, Clock clock) {
        EngineStandIn engine = EngineStandIn.start(ANY_PORT, profile, clock);
        engines.put(name, engine);
        return engine.address();
    }

    /** Puts a fault into force. */
    void apply(FaultStep step) {
        engines.get(step.server()).injectFaults(step.faults());
    }

    /** Makes every engine take an entry instance for dead for {@code time}. */
    void sever(InstanceId instance, Duration time) {
        engines.values().forEach(engine -> engine.disconnect(instance, time));
    }

    /** Returns the attempts of an instance that any engine holds something for. */
    Set<String> heldBy(InstanceId instance) {
        return engines.values().stream()
                .flatMap(engine -> engine.heldBy(instance).stream())
                .collect(Collectors.toSet());
    }

    /** Returns what all engines truly did since they started. */
    EngineCounts counts() {
        return engines.values().stream().map(EngineStandIn::counts).reduce(EngineCounts.none(), EngineCounts::plus);
    }

    /** Tells whether any engine ran anything for a request. */
    boolean hasRun(String request) {
        return engines.values().stream().anyMatch(engine -> engine.hasRun(request));
    }

    /** Returns the engines, to be closed. */
    List<EngineStandIn> all() {
        return new ArrayList<>(engines.values());
    }
}
