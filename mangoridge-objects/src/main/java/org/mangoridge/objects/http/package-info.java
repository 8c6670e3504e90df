/** The platform's object API over HTTP. */
package org.mangoridge.objects.http;
