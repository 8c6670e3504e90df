/** An HTTP server based on Ratpack, with blocking handlers that run on virtual threads. */
package org.mangoridge.web;
