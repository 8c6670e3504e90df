/** Who used what, and whose requests were refused. */
package org.mangoridge.routing.accounting;
