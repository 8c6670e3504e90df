/** The merged configuration of services, caller classes, callers and backend servers. */
package org.mangoridge.settings.deployment;
