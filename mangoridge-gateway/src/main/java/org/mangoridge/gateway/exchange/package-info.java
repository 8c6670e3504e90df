/** The request path: routing, placement, retries, and the forwarding of responses to callers. */
package org.mangoridge.gateway.exchange;
