/** The configuration that is in force: routes, services and limits. */
package org.mangoridge.gateway.config;
