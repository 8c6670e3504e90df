package org.mangoridge.peer.rpc;

/**
 * A call that a peer did not answer.
 *
 * @param refused whether the machine answered that nothing listens at the address
 * @param detail what went wrong
 */
public record PeerFailure(boolean refused, String detail) {}
