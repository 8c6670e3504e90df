package org.mangoridge.routing;

/** The demand and the queue of one service at this instance. */
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
