package org.mangoridge.gateway.stage;

import org.mangoridge.gateway.directory.ServerEntry;
import org.mangoridge.gateway.directory.ServerStage;

/**
 * A server that should take another part.
 *
 * @param server the server
 * @param to the stage that it should have
 */
public record StageChange(ServerEntry server, ServerStage to) {}
