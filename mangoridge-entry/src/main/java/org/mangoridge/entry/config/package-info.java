/** Adoption of published configurations, and the HTTP endpoints to change and inspect them. */
package org.mangoridge.entry.config;
