/** Metrics in the Prometheus text format. */
package org.mangoridge.entry.metrics;
