package org.mangoridge.http;

import org.mangoridge.core.verdict.AttemptProgress;

/**
 * A call that got no whole answer.
 *
 * @param progress how far it came
 * @param detail what went wrong
 */
public record HttpFailure(AttemptProgress progress, String detail) {}
