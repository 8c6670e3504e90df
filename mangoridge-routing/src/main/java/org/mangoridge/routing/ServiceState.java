package org.mangoridge.routing;

/** What this instance knows of one service beside its servers. */
final class ServiceState {

    private final Demand demand = new Demand();
    private final FairQueue queue = new FairQueue();

    Demand demand() {
        return demand;
    }

    FairQueue queue() {
        return queue;
    }
}
