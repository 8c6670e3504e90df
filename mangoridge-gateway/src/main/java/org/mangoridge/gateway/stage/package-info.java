/** Keeps enough servers of a model service in each stage, by orders under a lease. */
package org.mangoridge.gateway.stage;
