/** What a run puts the system through: servers, traffic and faults. */
package org.mangoridge.bench.scenario;
