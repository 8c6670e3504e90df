/** Claims on idempotency keys, which make calls run at most once. */
package org.mangoridge.claims;
