package org.mangoridge.config;

import java.util.List;

import org.mangoridge.config.audit.KeyChange;

/**
 * A change that another operator published meanwhile.
 *
 * @param generation its number
 * @param applyId the apply
 * @param operator who applied it
 * @param at when, as ISO 8601 in UTC
 * @param changes the keys that it changed
 */
public record ConcurrentChange(long generation, String applyId, String operator, String at, List<KeyChange> changes) {}
