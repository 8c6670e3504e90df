/** Puts an entry instance together and leads it from start to end. */
package org.mangoridge.gateway.node;
