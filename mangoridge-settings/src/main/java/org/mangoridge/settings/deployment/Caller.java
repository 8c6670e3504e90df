package org.mangoridge.settings.deployment;

import org.mangoridge.core.id.CallerClassId;
import org.mangoridge.core.id.CallerId;
import org.mangoridge.core.id.WorkspaceId;

/**
 * A caller that may send requests.
 *
 * @param id its name
 * @param keyHash the salted hash of its key
 * @param callerClass its class
 * @param workspace the workspace that its use counts towards
 */
public record Caller(CallerId id, KeyHash keyHash, CallerClassId callerClass, WorkspaceId workspace) {}
