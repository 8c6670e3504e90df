package org.mangoridge.config.distribution;

import java.util.List;
import java.util.Optional;

import org.mangoridge.core.Result;
import org.mangoridge.core.id.Generation;
import org.mangoridge.core.id.InstanceId;

/** The other instances as sources of configurations. Implementations must be thread-safe. */
public interface ConfigPeers {

    /**
     * One instance's view of the other instances. Views of different instances may differ.
     *
     * @param ranked the live instances of the own zone, including this one, in an order that is the same on all
     *     instances with the same view and that changes little if one instance joins or leaves
     * @param others all other live instances in all zones
     * @param newest a peer with the greatest generation in force, if any peer is known
     * @param generations the generations that the peers have in force, sorted by instance id
     */
    record View(
            List<InstanceId> ranked,
            List<InstanceId> others,
            Optional<PeerGeneration> newest,
            List<PeerGeneration> generations) {

        public View {
            ranked = List.copyOf(ranked);
            others = List.copyOf(others);
            generations = List.copyOf(generations);
        }

        /** Returns the view of an instance without peers. */
        public static View alone(InstanceId self) {
            return new View(List.of(self), List.of(), Optional.empty(), List.of());
        }
    }

    /**
     * The generation that an instance has in force.
     *
     * @param instance the instance
     * @param generation the generation
     */
    record PeerGeneration(InstanceId instance, Generation generation) {}

    /**
     * The response of a peer.
     *
     * @param generation the generation that the peer has in force
     * @param offer the configuration of the peer, if it is newer than that of the requester
     */
    record Answer(Generation generation, Optional<ConfigOffer> offer) {}

    /** Returns an empty set of peers. */
    static ConfigPeers none(InstanceId self) {
        return new ConfigPeers() {
            @Override
            public View view() {
                return View.alone(self);
            }

            @Override
            public Result<Answer, String> ask(InstanceId peer, Generation known) {
                return Result.err("no peer is known");
            }
        };
    }

    /** Returns the current view; never blocks. */
    View view();

    /** Requests the configuration of {@code peer} if it is newer than {@code known}; blocks until a timeout at most. */
    Result<Answer, String> ask(InstanceId peer, Generation known);
}
