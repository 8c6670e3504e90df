package org.mangoridge.peer.membership;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.Generation;
import org.mangoridge.core.id.Incarnation;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.Owner;
import org.mangoridge.core.net.HostPort;

/**
 * One run of an instance as it describes itself.
 *
 * @param id its name
 * @param incarnation its run
 * @param zone its availability zone
 * @param address where peers connect
 * @param state its state
 * @param generation the configuration that it has in force
 */
public record Member(
        InstanceId id,
        Incarnation incarnation,
        AvailabilityZone zone,
        HostPort address,
        ServingState state,
        Generation generation) {

    public Member {
        Checks.notNull(id, "id");
        Checks.notNull(incarnation, "incarnation");
        Checks.notNull(zone, "zone");
        Checks.notNull(address, "address");
        Checks.notNull(state, "state");
        Checks.notNull(generation, "generation");
    }

    /** Returns the same run in another state. */
    public Member withState(ServingState other) {
        return new Member(id, incarnation, zone, address, other, generation);
    }

    /** Returns the same run with another configuration in force. */
    public Member withGeneration(Generation other) {
        return new Member(id, incarnation, zone, address, state, other);
    }

    /** Returns the name of this run as backend servers see it. */
    public Owner owner() {
        return new Owner(id, incarnation);
    }
}
