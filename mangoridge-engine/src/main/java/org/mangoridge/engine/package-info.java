/** Model engines and plain services, as the system sees them. */
package org.mangoridge.engine;
