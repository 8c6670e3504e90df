/** The demonstration: the whole path on embedded stand-ins. */
package org.mangoridge.cli.demo;
