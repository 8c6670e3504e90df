/** Claims in the platform's store: the runner of the protocol, the write budget, the sweeper and settlement. */
package org.mangoridge.claims.store;
