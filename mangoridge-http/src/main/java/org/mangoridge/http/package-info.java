/** Outbound HTTP calls, whose failures tell how far the call got, and JSON messages. */
package org.mangoridge.http;
