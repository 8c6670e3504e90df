package org.mangoridge.routing;

/** What this instance knows of one service beside its servers. */
final class ServiceState {

    private final Demand demand = new Demand();
    private final WaitingQueue queue = new WaitingQueue();

    Demand demand() {
        return demand;
    }

    WaitingQueue queue() {
        return queue;
    }
}
