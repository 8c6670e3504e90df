package org.mangoridge.gateway.gossip;

import java.util.List;
import java.util.Map;

import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.gateway.balance.LoadShare;

/**
 * What one instance says of itself.
 *
 * @param sender the instance
 * @param startedMillis when this run of it started, as Unix milliseconds
 * @param sequence numbers the reports of a run
 * @param loads the load that it puts on servers
 * @param peers addresses of instances that it heard of lately
 * @param configVersion the version of its configuration, -1 if it has none
 * @param leaving whether it ends
 */
public record LoadReport(
        InstanceId sender,
        long startedMillis,
        long sequence,
        Map<ServerId, LoadShare> loads,
        List<HostPort> peers,
        long configVersion,
        boolean leaving) {

    public LoadReport {
        loads = Map.copyOf(loads);
        peers = List.copyOf(peers);
    }
}
