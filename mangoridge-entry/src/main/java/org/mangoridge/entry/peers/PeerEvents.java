package org.mangoridge.entry.peers;

import java.util.Map;

import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.Owner;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.entry.model.RoutingDriver;
import org.mangoridge.peer.membership.GoneReason;
import org.mangoridge.routing.RoutingEvent;

/**
 * Tells routing and the release of orphaned work what becomes of peers.
 *
 * @param driver runs routing
 * @param sweeper releases orphaned work
 */
public record PeerEvents(RoutingDriver driver, OrphanSweeper sweeper) implements PeerListener {

    @Override
    public void joined(Owner owner) {
        sweeper.joined(owner);
    }

    @Override
    public void gone(Owner owner, GoneReason reason) {
        sweeper.gone(owner);
        driver.post(new RoutingEvent.PeerGone(owner.instance()));
    }

    @Override
    public void counted(InstanceId peer, Map<ServerId, Integer> inFlight) {
        driver.post(new RoutingEvent.PeerInFlight(peer, inFlight));
    }

    @Override
    public void superseded(Owner later) {
        // the log tells operators; a later run takes nothing from this one that backend servers would not refuse
    }
}
