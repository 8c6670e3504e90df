package org.mangoridge.gateway.stage;

import org.mangoridge.core.id.FencingToken;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.directory.ServerStage;

/**
 * An order to a server to change its stage.
 *
 * @param server the server
 * @param stage the new stage
 * @param holder the instance that gives the order
 * @param fencing the fencing token of its tenure
 */
public record StageOrder(ServerEntry server, ServerStage stage, InstanceId holder, FencingToken fencing) {}
