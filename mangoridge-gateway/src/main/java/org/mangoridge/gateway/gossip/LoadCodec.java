package org.mangoridge.gateway.gossip;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.apache.thrift.TBase;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TProtocolUtil;
import org.mangoridge.core.Checks;
import org.mangoridge.core.Result;
import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.id.WorkspaceId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.dispatch.balance.ServerLoad;
import org.mangoridge.dispatch.directory.LeavingRun;
import org.mangoridge.dispatch.directory.ServerRun;
import org.mangoridge.dispatch.limit.LimitStatus;
import org.mangoridge.dispatch.limit.RateLimit;
import org.mangoridge.dispatch.quarantine.CrashEvidence;
import org.mangoridge.dispatch.quarantine.RequestParts;
import org.mangoridge.dispatch.quota.WorkspaceUse;
import org.mangoridge.dispatch.request.RequestPart;
import org.mangoridge.gateway.thrift.ImplicatedRequest;
import org.mangoridge.gateway.thrift.LoadBatch;
import org.mangoridge.gateway.thrift.LoadMessage;
import org.mangoridge.gateway.thrift.ServerCrash;
import org.mangoridge.gateway.thrift.ServerDeparture;
import org.mangoridge.gateway.thrift.ServerLimit;
import org.mangoridge.gateway.thrift.ServerShare;
import org.mangoridge.gateway.thrift.ServiceDemand;
import org.mangoridge.gateway.thrift.SoundPart;
import org.mangoridge.gateway.thrift.WorkspaceUsage;

/** Encodes and decodes load reports and the datagrams that carry batches of them. */
final class LoadCodec {

    /** Bounds the cache of parsed addresses; a fleet has few of them, and they recur in every report. */
    private static final int MAX_CACHED_ADDRESSES = 4096;

    /** Bounds the requests of one instance on one server. */
    private static final int MAX_REQUESTS = 1 << 20;
    /** Bounds the tokens of one instance on one server. */
    private static final long MAX_TOKENS = 1L << 40;

    /** Bounds the units that one workspace has used at one instance, so that sums over all do not overflow. */
    private static final long MAX_UNITS = 1L << 50;

    private final Map<String, HostPort> addressCache = new HashMap<>();

    private static final int MAX_DEPTH = 16;

    /** Bounds the characters of the id of a part of a request. */
    private static final int MAX_PART_LENGTH = 64;

    /** Bounds the demand of one instance, so that sums over all do not overflow. */
    private static final int MAX_DEMAND = 1 << 24;

    /**
     * The content of a datagram.
     *
     * @param reports encoded reports
     * @param passOn whether the receiver is to forward them
     * @param evidence evidence of crashes of servers
     * @param limits limits of servers
     * @param leavingRuns runs of servers that have said that they leave
     */
    record Batch(
            List<byte[]> reports,
            boolean passOn,
            CrashEvidence evidence,
            List<LimitStatus> limits,
            List<LeavingRun> leavingRuns) {}

    static {
        // Unknown fields are skipped by recursion, by default at any depth.
        TProtocolUtil.setMaxSkipDepth(MAX_DEPTH);
    }

    private LoadCodec() {}

    static LoadCodec create() {
        return new LoadCodec();
    }

    static byte[] encode(LoadReport report) {
        List<ServerShare> shares = new ArrayList<>();
        report.loads()
                .forEach((server, load) -> shares.add(
                        new ServerShare(server.value(), load.requests(), load.prefillTokens(), load.kvTokens())
                                .setGrowthTokens(load.growthTokens())));
        List<String> peers = report.peers().stream().map(HostPort::toString).toList();
        LoadReport.Origin origin = report.origin();
        return write(new LoadMessage(
                        origin.instance().value(),
                        origin.startedMillis(),
                        report.sequence(),
                        shares,
                        peers,
                        report.storeVersions().configVersion(),
                        report.leaving(),
                        origin.address().toString(),
                        origin.zone().value(),
                        origin.milliCores(),
                        report.relaying(),
                        report.storeVersions().serversRevision())
                .setStoreEra(report.storeVersions().era())
                .setDemands(report.demands().entrySet().stream()
                        .map(each -> new ServiceDemand(each.getKey().value(), each.getValue()))
                        .toList())
                .setUsages(report.uses().stream()
                        .map(use -> new WorkspaceUsage(
                                use.workspace().value(),
                                use.asked(),
                                use.granted(),
                                use.age().toMillis()))
                        .toList()));
    }

    static byte[] encodeBatch(List<byte[]> reports, boolean passOn) {
        return write(new LoadBatch(reports.stream().map(ByteBuffer::wrap).toList(), passOn));
    }

    static byte[] encodeEvidence(CrashEvidence evidence, boolean passOn) {
        List<ServerCrash> crashes = new ArrayList<>();
        for (CrashEvidence.Crash crash : evidence.crashes()) {
            List<ImplicatedRequest> requests = crash.requests().stream()
                    .map(request -> new ImplicatedRequest(
                            request.parts().stream().map(RequestPart::value).toList()))
                    .toList();
            crashes.add(new ServerCrash(
                    crash.run().server().value(),
                    crash.run().startedMillis(),
                    crash.age().toMillis(),
                    requests));
        }
        List<SoundPart> soundParts = new ArrayList<>();
        evidence.soundAnswers().forEach((part, count) -> soundParts.add(new SoundPart(part.value(), count)));
        return write(new LoadBatch(List.of(), passOn).setCrashes(crashes).setSoundParts(soundParts));
    }

    static byte[] encodeLimits(List<LimitStatus> limits, boolean passOn) {
        List<ServerLimit> encoded = new ArrayList<>();
        for (LimitStatus status : limits) {
            ServerRun run = status.run();
            ServerLimit limit = new ServerLimit(
                    run.server().value(),
                    run.startedMillis(),
                    status.version(),
                    status.silence().toMillis());
            status.limit().ifPresent(rate -> limit.setRequestsPerSecond(rate.requestsPerSecond()));
            encoded.add(limit);
        }
        return write(new LoadBatch(List.of(), passOn).setLimits(encoded));
    }

    static byte[] encodeLeavingRuns(List<LeavingRun> runs, boolean passOn) {
        List<ServerDeparture> encoded = runs.stream()
                .map(leaving -> new ServerDeparture(
                        leaving.run().server().value(),
                        leaving.run().startedMillis(),
                        leaving.age().toMillis()))
                .toList();
        return write(new LoadBatch(List.of(), passOn).setDepartures(encoded));
    }

    private static List<LeavingRun> leavingRuns(LoadBatch batch) {
        return batch.getDepartures().stream()
                .map(departure -> new LeavingRun(
                        new ServerRun(ServerId.of(departure.getServer()), departure.getStartedMillis()),
                        Duration.ofMillis(departure.getAgeMillis())))
                .toList();
    }

    private static List<LimitStatus> limits(LoadBatch batch) {
        return batch.getLimits().stream()
                .map(limit -> new LimitStatus(
                        new ServerRun(ServerId.of(limit.getServer()), limit.getStartedMillis()),
                        limit.getVersion(),
                        limit.isSetRequestsPerSecond()
                                ? Optional.of(new RateLimit(limit.getRequestsPerSecond()))
                                : Optional.empty(),
                        Duration.ofMillis(limit.getSilenceMillis())))
                .toList();
    }

    private static CrashEvidence evidence(LoadBatch batch) {
        List<CrashEvidence.Crash> crashes = new ArrayList<>();
        for (ServerCrash crash : batch.getCrashes()) {
            List<RequestParts> requests = crash.getRequests().stream()
                    .map(request -> new RequestParts(
                            request.getParts().stream().map(LoadCodec::part).toList()))
                    .toList();
            crashes.add(new CrashEvidence.Crash(
                    new ServerRun(ServerId.of(crash.getServer()), crash.getStartedMillis()),
                    Duration.ofMillis(crash.getAgeMillis()),
                    requests));
        }
        Map<RequestPart, Double> soundAnswers = new HashMap<>();
        for (SoundPart sound : batch.getSoundParts()) {
            Checks.argument(Double.isFinite(sound.getAnswers()), "the number of sound answers is not finite");
            soundAnswers.put(part(sound.getPart()), sound.getAnswers());
        }
        return new CrashEvidence(crashes, soundAnswers);
    }

    private static RequestPart part(String text) {
        Checks.argument(text.length() <= MAX_PART_LENGTH, "the id of a part of a request is too long");
        return RequestPart.of(text);
    }

    private static byte[] write(TBase<?, ?> message) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(message);
        } catch (TException e) {
            throw new IllegalStateException("Thrift message could not be encoded", e);
        }
    }

    /** Reads a message; the memory for its texts and lists is allocated by their announced sizes, before they are read. */
    private static void read(TBase<?, ?> message, byte[] bytes) throws TException {
        int maxSize = bytes.length;
        new TDeserializer(new TCompactProtocol.Factory(maxSize, maxSize)).deserialize(message, bytes);
    }

    static Result<Batch, String> decodeBatch(byte[] bytes) {
        LoadBatch batch = new LoadBatch();
        try {
            read(batch, bytes);
            return Result.ok(
                    new Batch(reports(batch), batch.isPassOn(), evidence(batch), limits(batch), leavingRuns(batch)));
        } catch (TException | RuntimeException e) {
            // The library throws unchecked exceptions for some malformed messages.
            return Result.err(String.valueOf(e));
        }
    }

    private static List<byte[]> reports(LoadBatch batch) {
        List<byte[]> reports = new ArrayList<>();
        for (ByteBuffer report : batch.getReports()) {
            byte[] copy = new byte[report.remaining()];
            report.duplicate().get(copy);
            reports.add(copy);
        }
        return reports;
    }

    Result<LoadReport, String> decode(byte[] bytes) {
        LoadMessage message = new LoadMessage();
        try {
            read(message, bytes);
            Map<ServerId, ServerLoad> loads = new HashMap<>();
            for (ServerShare share : message.getShares()) {
                checkBounds(share);
                loads.put(
                        ServerId.of(share.getServer()),
                        new ServerLoad(
                                share.getRequests(),
                                share.getPrefillTokens(),
                                share.getKvTokens(),
                                share.getGrowthTokens()));
            }
            Map<ServiceId, Integer> demands = new HashMap<>();
            for (ServiceDemand demand : message.getDemands()) {
                Checks.argument(
                        demand.getWeight() > 0 && demand.getWeight() <= MAX_DEMAND,
                        "demand for %s is out of bounds",
                        demand.getServiceName());
                demands.put(ServiceId.of(demand.getServiceName()), demand.getWeight());
            }
            List<WorkspaceUse> uses =
                    message.getUsages().stream().map(LoadCodec::use).toList();
            LoadReport.Origin origin = new LoadReport.Origin(
                    InstanceId.of(message.getSender()),
                    message.getStartedMillis(),
                    parseAddress(message.getAddress()),
                    AvailabilityZone.of(message.getZone()),
                    message.getMilliCores());
            return Result.ok(new LoadReport(
                    origin,
                    message.getSequence(),
                    loads,
                    demands,
                    uses,
                    message.getPeers().stream().map(this::parseAddress).toList(),
                    new LoadReport.StoreVersions(
                            message.getStoreEra(), message.getConfigVersion(), message.getServersRevision()),
                    message.isRelaying(),
                    message.isLeaving()));
        } catch (TException | RuntimeException e) {
            return Result.err(String.valueOf(e));
        }
    }

    private static WorkspaceUse use(WorkspaceUsage usage) {
        Checks.argument(usage.getAsked() <= MAX_UNITS, "use of workspace %s is out of bounds", usage.getWorkspace());
        return new WorkspaceUse(
                WorkspaceId.of(usage.getWorkspace()),
                usage.getAsked(),
                usage.getGranted(),
                Duration.ofMillis(usage.getAgeMillis()));
    }

    /** Sums of the loads of all instances must not overflow. */
    private static void checkBounds(ServerShare share) {
        Checks.argument(
                share.getRequests() <= MAX_REQUESTS
                        && share.getPrefillTokens() <= MAX_TOKENS
                        && share.getKvTokens() <= MAX_TOKENS
                        && share.getGrowthTokens() <= MAX_TOKENS,
                "load on server %s is out of bounds",
                share.getServer());
    }

    private HostPort parseAddress(String text) {
        HostPort cached = addressCache.get(text);
        if (cached == null) {
            if (addressCache.size() >= MAX_CACHED_ADDRESSES) {
                addressCache.clear();
            }
            cached = HostPort.parse(text);
            addressCache.put(text, cached);
        }
        return cached;
    }
}
