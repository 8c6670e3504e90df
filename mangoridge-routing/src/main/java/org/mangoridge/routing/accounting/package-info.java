/** Accounting of usage by caller and server, and of refused requests. */
package org.mangoridge.routing.accounting;
