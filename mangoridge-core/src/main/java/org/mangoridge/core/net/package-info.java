/** Network addresses. */
package org.mangoridge.core.net;
