package org.mangoridge.gateway.gossip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.mangoridge.core.Result;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.gateway.balance.LoadShare;
import org.mangoridge.gateway.thrift.LoadMessage;
import org.mangoridge.gateway.thrift.ServerShare;

/** Translates load reports from and to datagrams. */
final class LoadCodec {

    private LoadCodec() {}

    static byte[] encode(LoadReport report) {
        List<ServerShare> shares = new ArrayList<>();
        report.loads()
                .forEach((server, load) -> shares.add(
                        new ServerShare(server.value(), load.requests(), load.prefillTokens(), load.kvTokens())));
        List<String> peers = report.peers().stream().map(HostPort::toString).toList();
        LoadMessage message = new LoadMessage(
                report.sender().value(),
                report.startedMillis(),
                report.sequence(),
                shares,
                peers,
                report.configVersion(),
                report.leaving());
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(message);
        } catch (TException e) {
            throw new IllegalStateException("a report that was built can't be written", e);
        }
    }

    static Result<LoadReport, String> decode(byte[] bytes) {
        LoadMessage message = new LoadMessage();
        try {
            new TDeserializer(new TCompactProtocol.Factory()).deserialize(message, bytes);
            Map<ServerId, LoadShare> loads = new HashMap<>();
            for (ServerShare share : message.getShares()) {
                loads.put(
                        ServerId.of(share.getServer()),
                        new LoadShare(share.getRequests(), share.getPrefillTokens(), share.getKvTokens()));
            }
            return Result.ok(new LoadReport(
                    InstanceId.of(message.getSender()),
                    message.getStartedMillis(),
                    message.getSequence(),
                    loads,
                    message.getPeers().stream().map(HostPort::parse).toList(),
                    message.getConfigVersion(),
                    message.isLeaving()));
        } catch (TException | IllegalArgumentException e) {
            return Result.err(String.valueOf(e.getMessage()));
        }
    }
}
