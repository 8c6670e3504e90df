/** Accounting of requests and resource usage by caller and server. */
package org.mangoridge.entry.accounts;
