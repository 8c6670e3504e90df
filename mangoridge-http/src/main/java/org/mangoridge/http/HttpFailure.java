package org.mangoridge.http;

import org.mangoridge.core.verdict.AttemptProgress;

/**
 * The failure of a call that received no complete answer.
 *
 * @param progress how far the call got
 * @param detail a description of the error
 */
public record HttpFailure(AttemptProgress progress, String detail) {}
