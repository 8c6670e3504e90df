package org.mangoridge.config;

import java.util.List;

import org.mangoridge.config.audit.KeyChange;

/**
 * A change that was published after the base generation of an apply and before the apply itself.
 *
 * @param generation the generation that it published
 * @param applyId the apply
 * @param operator the operator who applied it, empty if not known
 * @param at the time of the apply in ISO 8601, UTC; empty if not known
 * @param changes the changed keys; empty if they can't be read
 */
public record ConcurrentChange(long generation, String applyId, String operator, String at, List<KeyChange> changes) {}
