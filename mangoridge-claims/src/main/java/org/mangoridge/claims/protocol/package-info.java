/** The protocol that makes a call run at most once, as a pure state machine; {@code spec/claims.pml} is its model. */
package org.mangoridge.claims.protocol;
