/** How an instance shuts down without cutting a request. */
package org.mangoridge.entry.lifecycle;
