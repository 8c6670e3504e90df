/** Claims in the platform's store: the shell of the protocol, the write budget, sweeping and settling. */
package org.mangoridge.claims.store;
