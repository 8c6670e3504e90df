/** Addresses of processes. */
package org.mangoridge.core.net;
