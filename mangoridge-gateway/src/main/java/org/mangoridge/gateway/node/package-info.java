/** Assembles an entry instance and manages its lifecycle. */
package org.mangoridge.gateway.node;
