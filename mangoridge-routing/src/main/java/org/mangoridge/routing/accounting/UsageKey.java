package org.mangoridge.routing.accounting;

import org.mangoridge.core.id.CallerClassId;
import org.mangoridge.core.id.CallerId;
import org.mangoridge.core.id.ServiceId;

/**
 * Whose requests use something.
 *
 * @param caller the caller
 * @param callerClass its class
 * @param service the service asked for
 */
public record UsageKey(CallerId caller, CallerClassId callerClass, ServiceId service) {}
