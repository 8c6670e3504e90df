/** An HTTP server on Ratpack whose handlers block on virtual threads. */
package org.mangoridge.web;
