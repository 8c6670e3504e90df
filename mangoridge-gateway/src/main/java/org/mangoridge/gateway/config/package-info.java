/** The active configuration: routes, services and limits. */
package org.mangoridge.gateway.config;
