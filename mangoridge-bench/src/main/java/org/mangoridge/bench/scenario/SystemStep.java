package org.mangoridge.bench.scenario;

/** Something that happens to the system while load lasts. */
public sealed interface SystemStep {

    /** Returns when, as a share of the measured interval. */
    double at();

    /**
     * An entry instance dies without a word.
     *
     * @param at when
     * @param number the instance, counted from 1
     */
    record InstanceKilled(double at, int number) implements SystemStep {}

    /**
     * An instance starts under the name of one that died.
     *
     * @param at when
     * @param number the instance, counted from 1
     */
    record InstanceStarted(double at, int number) implements SystemStep {}

    /**
     * The platform stops answering, or answers again.
     *
     * @param at when
     * @param down whether it stops
     */
    record PlatformOutage(double at, boolean down) implements SystemStep {}
}
