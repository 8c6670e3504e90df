/** Calls to plain services, that is, HTTP services other than model engines. */
package org.mangoridge.engine.plain;
