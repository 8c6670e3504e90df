/** What an instance writes into the audit trail of its zone. */
package org.mangoridge.entry.audit;
