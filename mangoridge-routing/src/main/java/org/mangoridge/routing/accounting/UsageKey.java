package org.mangoridge.routing.accounting;

import org.mangoridge.core.id.CallerClassId;
import org.mangoridge.core.id.CallerId;
import org.mangoridge.core.id.ServiceId;

/**
 * The key by which usage is accounted.
 *
 * @param caller the caller
 * @param callerClass the caller's class
 * @param service the requested service
 */
public record UsageKey(CallerId caller, CallerClassId callerClass, ServiceId service) {}
