/** Numbered log events. */
package org.mangoridge.core.event;
