/** Handling of calls to plain (non-model) services, with at-most-once execution by idempotency key. */
package org.mangoridge.entry.plain;
