package org.mangoridge.peer.membership;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.Generation;
import org.mangoridge.core.id.Incarnation;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.Owner;
import org.mangoridge.core.net.HostPort;

/**
 * One run of an instance, as reported by itself.
 *
 * @param id the id of the instance
 * @param incarnation the number of the run
 * @param zone its availability zone
 * @param address the address that peers connect to
 * @param state whether it serves requests
 * @param generation the generation of the configuration that it has in force
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

    /** Returns the same run with another configuration generation in force. */
    public Member withGeneration(Generation other) {
        return new Member(id, incarnation, zone, address, state, other);
    }

    /** Returns the owner that identifies this run at backend servers. */
    public Owner owner() {
        return new Owner(id, incarnation);
    }
}
