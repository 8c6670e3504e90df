/** Decisions of an entry instance, without network: what is placed where, who waits, who is refused and who retries. */
package org.mangoridge.dispatch;
