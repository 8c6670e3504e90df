/** Decides where work goes, who waits and who is refused; pure, on virtual time in tests. */
package org.mangoridge.gateway.balance;
