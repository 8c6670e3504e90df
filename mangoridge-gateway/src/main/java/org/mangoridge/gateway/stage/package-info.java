/** Balances the servers of a model service between the prefill and decode stages by orders under a lease. */
package org.mangoridge.gateway.stage;
