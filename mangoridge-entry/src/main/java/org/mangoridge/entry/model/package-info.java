/** Handling of model requests: placement, prefill, KV cache transfer, decode and the answer to the caller. */
package org.mangoridge.entry.model;
