/** Communication between entry instances. */
package org.mangoridge.peer;
