/** The configuration as it is published, with the hash that covers all of it. */
package org.mangoridge.config;
