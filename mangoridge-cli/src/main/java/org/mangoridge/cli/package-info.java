/** The commands of the one binary. */
package org.mangoridge.cli;
