package org.mangoridge.gateway.exchange;

import org.mangoridge.dispatch.directory.ServerEntry;

/**
 * The permission to make one call to a server, counted towards its limit; from {@link ServerCalls}.
 *
 * @param server the server
 * @param kind what the call is for
 */
public record SendPermit(ServerEntry server, CallKind kind) {}
