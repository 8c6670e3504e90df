/** Authentication of callers and operators. */
package org.mangoridge.entry.auth;
