package org.mangoridge.claims.protocol;

/**
 * A claim as it was read.
 *
 * @param version the version of its object
 * @param claim the claim
 */
public record StoredClaim(long version, Claim claim) {}
