package org.mangoridge.peer.orphan;

import java.util.List;

import org.mangoridge.core.id.Owner;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.peer.membership.PeerView;

/** What the release of orphaned work reacts to. */
public sealed interface OrphanEvent {

    /**
     * A run of an instance is gone, and so is every earlier run of it.
     *
     * @param owner the run
     */
    record Gone(Owner owner) implements OrphanEvent {}

    /**
     * A run that was believed dead lives.
     *
     * @param owner the run
     */
    record Returned(Owner owner) implements OrphanEvent {}

    /**
     * Time passed.
     *
     * @param view what is known of the instances
     * @param servers the servers that may hold something
     */
    record Tick(PeerView view, List<SweepTarget> servers) implements OrphanEvent {

        public Tick {
            servers = List.copyOf(servers);
        }
    }

    /**
     * A sweep ended.
     *
     * @param sweep the sweep
     * @param complete whether the server listed everything and released it
     */
    record SweepEnded(Sweep sweep, boolean complete) implements OrphanEvent {}

    /**
     * List what a server holds for an instance and cancel what belongs to a run up to a given one.
     *
     * @param server the server
     * @param upTo the last run that is gone
     */
    record Sweep(ServerId server, Owner upTo) {}
}
