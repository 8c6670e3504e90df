/** The commands, one class for each, and what they share. */
package org.mangoridge.cli.command;
