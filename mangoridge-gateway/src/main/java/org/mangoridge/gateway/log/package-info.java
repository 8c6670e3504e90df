/** Structured JSON log; logging never blocks the request path. */
package org.mangoridge.gateway.log;
