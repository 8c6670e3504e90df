package org.mangoridge.routing;

/** The routing policies that can be selected by name. */
public enum PolicyName {
    /** Picks the less loaded of two random servers by reported load, without admission control. */
    BASELINE,
    /** The policy that entry instances run. */
    CURRENT
}
