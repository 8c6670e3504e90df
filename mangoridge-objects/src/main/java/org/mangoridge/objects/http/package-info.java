/** HTTP client for the platform's object API. */
package org.mangoridge.objects.http;
