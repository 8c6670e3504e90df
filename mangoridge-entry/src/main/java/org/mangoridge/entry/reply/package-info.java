/** Request ids and the replies common to all request handlers. */
package org.mangoridge.entry.reply;
