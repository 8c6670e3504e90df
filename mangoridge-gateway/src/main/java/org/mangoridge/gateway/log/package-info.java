/** Structured logs that never block the request path. */
package org.mangoridge.gateway.log;
