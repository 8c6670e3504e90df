package org.mangoridge.peer.membership;

import java.util.List;
import java.util.Map;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.ServerId;

/**
 * A message between two instances, in either direction.
 *
 * @param sender the record of the sender
 * @param known the records of other members that changed lately, or of all members if {@code full}
 * @param inFlight the sender's requests in flight by server
 * @param viewHash a hash of the live members; equal at two instances with the same view
 * @param full whether {@code known} contains every member
 */
public record GossipMessage(
        MemberRecord sender, List<MemberRecord> known, Map<ServerId, Integer> inFlight, long viewHash, boolean full) {

    public GossipMessage {
        Checks.notNull(sender, "sender");
        known = List.copyOf(known);
        inFlight = Map.copyOf(inFlight);
    }
}
