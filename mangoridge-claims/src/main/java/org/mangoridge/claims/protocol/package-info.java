/** The decisions that make a call run at most once, without input or output; {@code spec/claims.pml} is their model. */
package org.mangoridge.claims.protocol;
