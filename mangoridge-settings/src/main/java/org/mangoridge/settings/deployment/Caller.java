package org.mangoridge.settings.deployment;

import org.mangoridge.core.id.CallerClassId;
import org.mangoridge.core.id.CallerId;
import org.mangoridge.core.id.WorkspaceId;

/**
 * A caller with an API key.
 *
 * @param id the name of the caller
 * @param keyHash the salted hash of its API key
 * @param callerClass its caller class
 * @param workspace the workspace that its usage counts towards
 */
public record Caller(CallerId id, KeyHash keyHash, CallerClassId callerClass, WorkspaceId workspace) {}
