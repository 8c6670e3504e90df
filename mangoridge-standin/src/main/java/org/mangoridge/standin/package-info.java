/** Stand-ins for the platform, model engines and plain services, for tests, demos and measurements. */
package org.mangoridge.standin;
