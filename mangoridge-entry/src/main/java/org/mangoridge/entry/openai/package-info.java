/** Parsing of requests and formatting of answers of the OpenAI-compatible API. */
package org.mangoridge.entry.openai;
