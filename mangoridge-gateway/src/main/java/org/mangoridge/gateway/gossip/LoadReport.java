package org.mangoridge.gateway.gossip;

import java.util.List;
import java.util.Map;

import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.dispatch.balance.ServerLoad;
import org.mangoridge.dispatch.quota.WorkspaceUse;

/**
 * The load and state that one instance reports to its peers.
 *
 * @param origin the run of the instance that sends the report
 * @param sequence the sequence number, increasing within a run
 * @param loads the load that the sender puts on each server
 * @param demands the demand of the sender for each service that it is not idle for
 * @param uses the use of workspaces at the sender that has changed lately
 * @param peers addresses of some of the live peers of the sender
 * @param storeVersions the versions of stored data that the sender has
 * @param relaying whether the sender forwards the reports of other instances
 * @param leaving whether the sender is shutting down
 */
public record LoadReport(
        Origin origin,
        long sequence,
        Map<ServerId, ServerLoad> loads,
        Map<ServiceId, Integer> demands,
        List<WorkspaceUse> uses,
        List<HostPort> peers,
        StoreVersions storeVersions,
        boolean relaying,
        boolean leaving) {

    public LoadReport {
        loads = Map.copyOf(loads);
        demands = Map.copyOf(demands);
        uses = List.copyOf(uses);
        peers = List.copyOf(peers);
    }

    /**
     * The versions of stored data that an instance has.
     *
     * @param era the era of the store that the revision belongs to; zero if the store names none
     * @param configVersion the version of its configuration, -1 if it has none
     * @param serversRevision the store revision of the newest server change that it knows, -1 if it knows none
     */
    public record StoreVersions(long era, long configVersion, long serversRevision) {

        static final StoreVersions NONE = new StoreVersions(0, -1, -1);

        StoreVersions max(StoreVersions other) {
            if (era != other.era) {
                return era > other.era ? this : other;
            }
            return new StoreVersions(
                    era,
                    Math.max(configVersion, other.configVersion),
                    Math.max(serversRevision, other.serversRevision));
        }
    }

    /**
     * One run of an instance.
     *
     * @param instance its id
     * @param startedMillis when the run started, as Unix milliseconds
     * @param address the address on which it receives reports
     * @param zone its availability zone
     * @param milliCores its CPU limit, in thousandths of a core
     */
    public record Origin(
            InstanceId instance, long startedMillis, HostPort address, AvailabilityZone zone, int milliCores) {}
}
