/** Workspaces of callers: their keys, and what they may use. */
package org.mangoridge.dispatch.workspace;
