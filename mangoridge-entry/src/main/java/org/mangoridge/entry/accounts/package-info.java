/** Accounts of callers, kept on the control thread. */
package org.mangoridge.entry.accounts;
