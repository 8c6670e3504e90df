package org.mangoridge.entry.peers;

import java.util.Map;

import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.Owner;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.entry.model.RoutingDriver;
import org.mangoridge.peer.membership.GoneReason;
import org.mangoridge.routing.RoutingEvent;

/**
 * Forwards membership changes to routing and to the sweeper of orphaned attempts.
 *
 * @param driver runs the routing policy
 * @param sweeper cancels orphaned attempts at servers
 */
public record PeerEventDispatcher(RoutingDriver driver, OrphanSweeper sweeper) implements PeerListener {

    @Override
    public void peerJoined(Owner owner) {
        sweeper.peerJoined(owner);
    }

    @Override
    public void peerGone(Owner owner, GoneReason reason) {
        sweeper.peerGone(owner);
        driver.post(new RoutingEvent.PeerGone(owner.instance()));
    }

    @Override
    public void inFlightReported(InstanceId peer, Map<ServerId, Integer> inFlight) {
        driver.post(new RoutingEvent.PeerInFlight(peer, inFlight));
    }

    @Override
    public void superseded(Owner later) {
        // logged by PeerNode; backend servers refuse whatever the later incarnation must not take over from this one
    }
}
