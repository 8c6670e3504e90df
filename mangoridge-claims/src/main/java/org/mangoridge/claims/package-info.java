/** Claims that make calls run at most once. */
package org.mangoridge.claims;
