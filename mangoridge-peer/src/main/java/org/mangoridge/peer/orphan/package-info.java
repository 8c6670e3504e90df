/** Schedules the cancellation of attempts of instances that are gone, as a state machine without I/O. */
package org.mangoridge.peer.orphan;
