/** The active configuration: routes, services and limits. */
package org.mangoridge.dispatch.config;
