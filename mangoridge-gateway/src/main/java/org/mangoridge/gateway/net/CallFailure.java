package org.mangoridge.gateway.net;

import org.mangoridge.core.verdict.AttemptProgress;

/**
 * Why a call to a server has no complete answer.
 *
 * @param progress how far it came
 * @param silent whether the server did not say anything, in place of refusing or resetting the connection
 * @param detail what happened
 */
public record CallFailure(AttemptProgress progress, boolean silent, String detail) {}
