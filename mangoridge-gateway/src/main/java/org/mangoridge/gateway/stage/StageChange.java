package org.mangoridge.gateway.stage;

import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.directory.ServerStage;

/**
 * A stage change that a server should make.
 *
 * @param server the server
 * @param to its new stage
 */
public record StageChange(ServerEntry server, ServerStage to) {}
