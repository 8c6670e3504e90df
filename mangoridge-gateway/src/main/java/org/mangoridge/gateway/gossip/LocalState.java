package org.mangoridge.gateway.gossip;

import java.util.List;
import java.util.Map;

import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.dispatch.balance.ServerLoad;
import org.mangoridge.dispatch.directory.LeavingRun;
import org.mangoridge.dispatch.limit.LimitStatus;
import org.mangoridge.dispatch.quarantine.CrashEvidence;
import org.mangoridge.dispatch.quota.WorkspaceUse;

/** Supplies what an instance tells its peers. */
interface LocalState {

    /** Returns the load that this instance puts on each server. */
    Map<ServerId, ServerLoad> loads();

    /** Returns the demand of this instance for each service that it is not idle for. */
    Map<ServiceId, Integer> demands();

    /** Returns the use of workspaces at this instance that has changed lately. */
    List<WorkspaceUse> workspaceUses();

    /** Returns the versions of stored data that this instance has. */
    LoadReport.StoreVersions storeVersions();

    /** Returns what this instance knows of crashes of servers. */
    CrashEvidence evidence();

    /** Returns what this instance knows of the limits of servers, the last changed first. */
    List<LimitStatus> limits();

    /** Returns the runs of servers that have said that they leave, the last learnt first. */
    List<LeavingRun> leavingRuns();
}
