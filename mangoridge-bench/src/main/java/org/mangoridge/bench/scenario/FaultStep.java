package org.mangoridge.bench.scenario;

import org.mangoridge.standin.engine.EngineFaults;

/**
 * A change of a server's faults.
 *
 * @param at when, as a share of the measured interval
 * @param server the server
 * @param faults the faults from then on
 */
public record FaultStep(double at, String server, EngineFaults faults) {}
