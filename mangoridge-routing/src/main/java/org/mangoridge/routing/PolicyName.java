package org.mangoridge.routing;

/** Names the routing policies. */
public enum PolicyName {
    /** Two random choices on reported load, without admission control. */
    BASELINE,
    /** The policy that entry instances run. */
    CURRENT
}
