/** Who a caller or operator is. */
package org.mangoridge.entry.auth;
