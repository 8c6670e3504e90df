package org.mangoridge.claims.protocol;

/**
 * A claim with the version of its object in the store.
 *
 * @param version the version of the object
 * @param claim the claim
 */
public record StoredClaim(long version, Claim claim) {}
