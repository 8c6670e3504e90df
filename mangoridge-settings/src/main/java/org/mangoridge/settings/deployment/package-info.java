/** The configuration of services, caller classes, callers and backend servers, merged from a folder of INI files. */
package org.mangoridge.settings.deployment;
