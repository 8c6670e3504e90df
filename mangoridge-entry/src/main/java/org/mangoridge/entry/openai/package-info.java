/** The OpenAI-compatible form of model requests and answers. */
package org.mangoridge.entry.openai;
