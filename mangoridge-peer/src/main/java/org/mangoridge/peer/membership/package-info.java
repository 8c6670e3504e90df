/** Which instances there are and which of them live: a pure state machine and its messages. */
package org.mangoridge.peer.membership;
