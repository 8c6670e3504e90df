/** What a caller asks for, in the project's own terms. */
package org.mangoridge.gateway.request;
