/** Outbound HTTP calls that report how far they came, headers and JSON. */
package org.mangoridge.http;
