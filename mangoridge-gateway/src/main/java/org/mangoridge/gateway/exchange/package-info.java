/** One request from its arrival to its final answer. */
package org.mangoridge.gateway.exchange;
