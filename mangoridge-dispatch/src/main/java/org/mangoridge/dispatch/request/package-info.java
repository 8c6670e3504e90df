/** Requests and server responses, independent of the header and body fields that carry them. */
package org.mangoridge.dispatch.request;
