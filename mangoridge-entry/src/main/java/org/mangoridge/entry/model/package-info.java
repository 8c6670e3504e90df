/** Model requests: from admission over prefill and transfer to the last token. */
package org.mangoridge.entry.model;
