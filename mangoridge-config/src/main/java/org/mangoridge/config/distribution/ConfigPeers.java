package org.mangoridge.config.distribution;

import java.util.List;
import java.util.Optional;

import org.mangoridge.core.Result;
import org.mangoridge.core.id.Generation;
import org.mangoridge.core.id.InstanceId;

/** The other instances, as far as following the configuration needs them; safe for use by several threads. */
public interface ConfigPeers {

    /**
     * What is known of the other instances; two instances may hold different views.
     *
     * @param ranked the live instances of the own zone, this one included, in an order that all who see the same
     *     instances share and that changes little with one instance
     * @param others all other live instances of every zone
     * @param newest the instance with the greatest generation in force, if any other is known
     * @param generations what the others have in force, in the order of their names
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

        /** Returns the view of an instance that knows no other. */
        public static View alone(InstanceId self) {
            return new View(List.of(self), List.of(), Optional.empty(), List.of());
        }
    }

    /**
     * What an instance has in force.
     *
     * @param instance the instance
     * @param generation its generation
     */
    record PeerGeneration(InstanceId instance, Generation generation) {}

    /**
     * What a peer answers.
     *
     * @param generation what it has in force
     * @param offer the configuration, if it is newer than what the asker has
     */
    record Answer(Generation generation, Optional<ConfigOffer> offer) {}

    /** Returns the peers of an instance that has none. */
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

    /** Returns what is known now; never blocks. */
    View view();

    /** Asks {@code peer} for its configuration if it is newer than {@code known}; blocks for a bounded time. */
    Result<Answer, String> ask(InstanceId peer, Generation known);
}
