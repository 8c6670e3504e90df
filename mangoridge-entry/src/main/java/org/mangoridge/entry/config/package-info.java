/** Following the configuration in force. */
package org.mangoridge.entry.config;
