/** The platform's object API over HTTP. */
package org.mangoridge.platform.http;
