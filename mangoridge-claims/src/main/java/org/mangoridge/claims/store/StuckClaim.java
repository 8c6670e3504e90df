package org.mangoridge.claims.store;

import org.mangoridge.claims.protocol.Claim;
import org.mangoridge.objects.ObjectKey;

/**
 * A claim whose attempt ended without a known outcome.
 *
 * @param object the key of the claim's object
 * @param version the version of the claim's object
 * @param claim the claim
 */
public record StuckClaim(ObjectKey object, long version, Claim claim) {}
