/** Keeps the rates that servers announce, which hold for all instances together. */
package org.mangoridge.dispatch.limit;
