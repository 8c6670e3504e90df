package org.mangoridge.peer.rpc;

import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.mangoridge.peer.membership.GossipMessage;

/** Computes the size of a gossip message on the wire. */
final class WireSize {

    private static final int FRAME_AND_CALL_BYTES = 4 + 14;
    private static final int TCP_AND_IP_HEADER_BYTES = 52;

    private WireSize() {}

    /** Returns the size of {@code message} in bytes, with the frame, the Thrift call header and one packet's headers. */
    static int of(GossipMessage message) {
        try {
            byte[] encoded = new TSerializer(new TCompactProtocol.Factory()).serialize(PeerCodec.encode(message));
            return encoded.length + FRAME_AND_CALL_BYTES + TCP_AND_IP_HEADER_BYTES;
        } catch (TException e) {
            throw new IllegalStateException(e);
        }
    }
}
