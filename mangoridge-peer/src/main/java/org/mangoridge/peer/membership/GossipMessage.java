package org.mangoridge.peer.membership;

import java.util.List;
import java.util.Map;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.ServerId;

/**
 * A message between two instances, in either direction.
 *
 * @param sender the sender's own record
 * @param known what it learned of others lately, or every member if {@code full}
 * @param inFlight the sender's own requests at each server
 * @param viewHash equal at two instances that know the same members
 * @param full whether {@code known} is complete
 */
public record GossipMessage(
        MemberRecord sender, List<MemberRecord> known, Map<ServerId, Integer> inFlight, long viewHash, boolean full) {

    public GossipMessage {
        Checks.notNull(sender, "sender");
        known = List.copyOf(known);
        inFlight = Map.copyOf(inFlight);
    }
}
