package org.mangoridge.gateway.gossip;

import java.util.List;
import java.util.Map;

import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.gateway.balance.ServerLoad;

/**
 * What one instance says of itself.
 *
 * @param origin the instance
 * @param sequence numbers the reports of a run
 * @param loads the load that it puts on servers
 * @param peers addresses of instances that it heard of lately
 * @param seen what it has of the store
 * @param relaying whether it passes the reports of others on
 * @param leaving whether it ends
 */
public record LoadReport(
        Origin origin,
        long sequence,
        Map<ServerId, ServerLoad> loads,
        List<HostPort> peers,
        Seen seen,
        boolean relaying,
        boolean leaving) {

    public LoadReport {
        loads = Map.copyOf(loads);
        peers = List.copyOf(peers);
    }

    /**
     * What an instance has of the store.
     *
     * @param configVersion the version of its configuration, -1 if it has none
     * @param serversRevision the store's revision at the newest change of a server that it knows, -1 if it knows none
     */
    public record Seen(long configVersion, long serversRevision) {

        static final Seen NOTHING = new Seen(-1, -1);

        Seen newer(Seen other) {
            return new Seen(
                    Math.max(configVersion, other.configVersion), Math.max(serversRevision, other.serversRevision));
        }
    }

    /**
     * One run of an instance.
     *
     * @param instance its id
     * @param startedMillis when the run started, as Unix milliseconds
     * @param address where it takes reports
     * @param zone where it runs
     * @param milliCores the processor time that it may use, in thousandths of a core
     */
    public record Origin(
            InstanceId instance, long startedMillis, HostPort address, AvailabilityZone zone, int milliCores) {}
}
