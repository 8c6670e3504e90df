package org.mangoridge.peer.rpc;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.Generation;
import org.mangoridge.core.id.Incarnation;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.peer.membership.GossipMessage;
import org.mangoridge.peer.membership.Liveness;
import org.mangoridge.peer.membership.Member;
import org.mangoridge.peer.membership.MemberRecord;
import org.mangoridge.peer.membership.ServingState;
import org.mangoridge.peer.thrift.Gossip;
import org.mangoridge.peer.thrift.InstanceRecord;
import org.mangoridge.peer.thrift.InstanceState;
import org.mangoridge.peer.thrift.SlotCount;

/** Converts messages to and from their Thrift types. */
public final class PeerCodec {

    private PeerCodec() {}

    /** Returns {@code message} as its Thrift type. */
    public static Gossip encode(GossipMessage message) {
        List<InstanceRecord> known =
                message.known().stream().map(PeerCodec::encode).toList();
        List<SlotCount> slots = message.inFlight().entrySet().stream()
                .map(entry -> new SlotCount(entry.getKey().value(), entry.getValue()))
                .toList();
        return new Gossip(encode(message.sender()), known, slots, message.viewHash(), message.full());
    }

    /**
     * Returns the message that {@code gossip} represents.
     *
     * @throws IllegalArgumentException if a value is invalid, such as an enum constant of a later version
     */
    public static GossipMessage decode(Gossip gossip) {
        Map<ServerId, Integer> inFlight = new HashMap<>();
        gossip.getSlots().forEach(slot -> inFlight.put(ServerId.of(slot.getServer()), slot.getInFlight()));
        return new GossipMessage(
                decode(gossip.getSender()),
                gossip.getKnown().stream().map(PeerCodec::decode).toList(),
                inFlight,
                gossip.getViewHash(),
                gossip.isFull());
    }

    private static InstanceRecord encode(MemberRecord record) {
        Member member = record.member();
        return new InstanceRecord(
                member.id().value(),
                member.incarnation().value(),
                member.zone().value(),
                member.address().toString(),
                convertState(member.state()),
                record.heartbeat(),
                member.generation().value(),
                convertLiveness(record.liveness()));
    }

    private static MemberRecord decode(InstanceRecord instance) {
        Member member = new Member(
                InstanceId.of(instance.getId()),
                Incarnation.of(instance.getIncarnation()),
                AvailabilityZone.of(instance.getZone()),
                HostPort.parse(instance.getPeerAddress()),
                convertState(instance.getState()),
                Generation.of(instance.getGeneration()));
        return new MemberRecord(member, instance.getHeartbeat(), convertLiveness(instance.getLiveness()));
    }

    private static InstanceState convertState(ServingState state) {
        return switch (state) {
            case SERVING -> InstanceState.SERVING;
            case DRAINING -> InstanceState.DRAINING;
            case STOPPED -> InstanceState.STOPPED;
        };
    }

    private static ServingState convertState(InstanceState state) {
        return switch (state) {
            case SERVING -> ServingState.SERVING;
            case DRAINING -> ServingState.DRAINING;
            case STOPPED -> ServingState.STOPPED;
        };
    }

    private static org.mangoridge.peer.thrift.Liveness convertLiveness(Liveness liveness) {
        return switch (liveness) {
            case ALIVE -> org.mangoridge.peer.thrift.Liveness.ALIVE;
            case SUSPECT -> org.mangoridge.peer.thrift.Liveness.SUSPECT;
            case DEAD -> org.mangoridge.peer.thrift.Liveness.DEAD;
        };
    }

    private static Liveness convertLiveness(org.mangoridge.peer.thrift.Liveness liveness) {
        return switch (liveness) {
            case ALIVE -> Liveness.ALIVE;
            case SUSPECT -> Liveness.SUSPECT;
            case DEAD -> Liveness.DEAD;
        };
    }
}
