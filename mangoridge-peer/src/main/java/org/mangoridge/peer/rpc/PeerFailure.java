package org.mangoridge.peer.rpc;

/**
 * The failure of a call to a peer.
 *
 * @param refused whether the connection was refused, which means that no process listens at the address
 * @param detail the message of the error
 */
public record PeerFailure(boolean refused, String detail) {}
