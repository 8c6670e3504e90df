package org.mangoridge.peer.orphan;

import java.util.List;

import org.mangoridge.core.id.Owner;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.peer.membership.PeerView;

/** An input of {@link OrphanSweepScheduler}. */
public sealed interface OrphanEvent {

    /**
     * A run of an instance is gone, and with it every earlier run.
     *
     * @param owner the run
     */
    record Gone(Owner owner) implements OrphanEvent {}

    /**
     * A run that was believed dead is live.
     *
     * @param owner the run
     */
    record Returned(Owner owner) implements OrphanEvent {}

    /**
     * Requests the sweeps that are due.
     *
     * @param view the current view of the instances
     * @param servers the servers to sweep
     */
    record Tick(PeerView view, List<SweepTarget> servers) implements OrphanEvent {

        public Tick {
            servers = List.copyOf(servers);
        }
    }

    /**
     * A sweep ended, successfully or not.
     *
     * @param sweep the sweep
     * @param complete whether all orphaned attempts were listed and cancelled
     */
    record SweepEnded(Sweep sweep, boolean complete) implements OrphanEvent {}

    /**
     * A sweep: list the attempts that a server holds for an instance, and cancel those of runs up to the given one.
     *
     * @param server the server
     * @param upTo the latest run that is gone
     */
    record Sweep(ServerId server, Owner upTo) {}
}
