/** Answers that every caller gets. */
package org.mangoridge.entry.reply;
