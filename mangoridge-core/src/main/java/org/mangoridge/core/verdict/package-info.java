/** Refusals of requests, and verdicts on whether a request may have run. */
package org.mangoridge.core.verdict;
