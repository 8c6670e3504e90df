/** What workspaces use at all instances together, and the quotas that bound it. */
package org.mangoridge.dispatch.quota;
