/** The measuring bench: real entry instances and engine stand-ins under open-loop load. */
package org.mangoridge.bench;
