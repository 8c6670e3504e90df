package org.mangoridge.dispatch.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.mangoridge.core.id.ServerId;
import org.mangoridge.dispatch.directory.ServerRun;
import org.mangoridge.dispatch.request.RequestPart;

/**
 * Instances before servers that end when they begin to answer certain prompts or requests, on virtual time.
 *
 * <p>Instances tell each other their evidence every second and at once when they observe a crash; some datagrams are
 * lost. In between instances restart, servers end for no reason, and half of the instances are cut off from the others.
 */
final class QuarantineSimulation {

    /** The platform requires that instances in contact act this long after the fifth crash. */
    static final Duration CONTACT_BOUND = Duration.ofSeconds(3);
    /** Crashes under a part after which that time starts. */
    static final int CRASHES_ALLOWED = 5;
    /** The same for a request that is sent again and again. */
    static final int CRASHES_OF_A_REQUEST_ALLOWED = 3;

    private static final Duration LENGTH = Duration.ofSeconds(60);
    private static final Duration STEP = Duration.ofMillis(20);
    private static final Duration CUT_START = Duration.ofSeconds(8);
    private static final Duration CUT_END = Duration.ofSeconds(13);
    private static final Duration ANSWER_TIME = Duration.ofMillis(2500);
    private static final Duration EVIDENCE_INTERVAL = Duration.ofSeconds(1);
    private static final Duration DOWN_TIME = Duration.ofSeconds(3);
    private static final double DATAGRAM_LOSS = 0.05;

    private final Load load;
    private final SplittableRandom random;
    private final List<Instance> instances = new ArrayList<>();
    private final List<Server> servers = new ArrayList<>();
    private final Map<RequestPart, Crashes> crashes = new HashMap<>();
    private Duration now = Duration.ZERO;
    private int soundSent;
    private int soundRefused;

    /**
     * A deployment and its requests.
     *
     * @param instances the number of instances
     * @param servers the number of servers
     * @param crashingParts the number of parts under which servers end
     * @param requestsPerSecond requests of all kinds
     * @param crashingRequests the number of requests under which servers end, with sound parts or without a prompt
     * @param crashingShare the share of requests with such a part, and of such requests
     * @param restarts instances that restart without their memory
     * @param randomCrashes servers that end for no reason
     */
    record Load(
            int instances,
            int servers,
            int crashingParts,
            int crashingRequests,
            int requestsPerSecond,
            double crashingShare,
            int restarts,
            int randomCrashes) {}

    private static final class Crashes {
        int count;
        Duration lastAllowedAt;
        int straysAfterBound;
    }

    private static final class Instance {
        final int number;
        RequestQuarantine quarantine = RequestQuarantine.create();
        Duration nextEvidence = Duration.ZERO;
        Duration inContactSince = Duration.ZERO;

        Instance(int number) {
            this.number = number;
        }
    }

    private record Stream(Instance instance, RequestQuarantine observer, RequestParts prompt, Duration start) {}

    private static final class Server {
        final int number;
        int run;
        Duration downUntil = Duration.ZERO;
        final List<Stream> streams = new ArrayList<>();

        Server(int number) {
            this.number = number;
        }
    }

    QuarantineSimulation(Load load, long seed) {
        this.load = load;
        this.random = new SplittableRandom(seed);
        for (int i = 0; i < load.instances(); i++) {
            instances.add(new Instance(i));
        }
        for (int i = 0; i < load.servers(); i++) {
            servers.add(new Server(i));
        }
    }

    void run() {
        double requestsPerStep = load.requestsPerSecond() * STEP.toMillis() / 1000.0;
        double restartsPerStep = load.restarts() * (double) STEP.toMillis() / LENGTH.toMillis();
        double crashesPerStep = load.randomCrashes() * (double) STEP.toMillis() / LENGTH.toMillis();
        for (; now.compareTo(LENGTH) < 0; now = now.plus(STEP)) {
            for (double left = requestsPerStep; left > 0 && random.nextDouble() < left; left--) {
                request();
            }
            if (random.nextDouble() < restartsPerStep) {
                restart(any(instances));
            }
            if (random.nextDouble() < crashesPerStep) {
                crash(any(servers));
            }
            servers.forEach(this::finishStreams);
            instances.forEach(this::tellIfDue);
            if (now.equals(CUT_END)) {
                instances.forEach(instance -> instance.inContactSince = now);
            }
        }
    }

    /** Returns the largest number of requests with one part, or of one request, that were sent in contact and too late. */
    int mostStrays() {
        return crashes.values().stream()
                .mapToInt(each -> each.straysAfterBound)
                .max()
                .orElse(0);
    }

    /** Returns the share of sound requests that were refused. */
    double soundRefusedShare() {
        return (double) soundRefused / soundSent;
    }

    private <E> E any(List<E> list) {
        return list.get(random.nextInt(list.size()));
    }

    private void request() {
        Instance instance = any(instances);
        boolean crashing = random.nextDouble() < load.crashingShare();
        int cause = random.nextInt(load.crashingParts() + load.crashingRequests());
        boolean byPart = crashing && cause < load.crashingParts();
        boolean byRequest = crashing && !byPart;
        // All prompts share few first parts; sound ones have one of many second parts.
        RequestPart first = RequestPart.of("f" + random.nextInt(4));
        RequestPart second = RequestPart.of(byPart ? "bad" + cause : "x" + random.nextInt(2000));
        RequestPart fingerprint = RequestPart.of(byRequest ? "r:" + cause : "s:" + random.nextLong());
        boolean plain = byRequest ? cause % 2 == 0 : !byPart && random.nextInt(3) == 0;
        RequestParts prompt = new RequestParts(plain ? List.of(fingerprint) : List.of(first, second, fingerprint));
        boolean refused = instance.quarantine.find(prompt).isPresent();
        if (!crashing) {
            soundSent++;
            soundRefused += refused ? 1 : 0;
        }
        List<Server> up = servers.stream()
                .filter(server -> now.compareTo(server.downUntil) >= 0)
                .toList();
        if (refused || up.isEmpty()) {
            return;
        }
        Server server = any(up);
        server.streams.add(new Stream(instance, instance.quarantine, prompt, now));
        if (byPart) {
            recordCrashOf(second, CRASHES_ALLOWED, instance);
            crash(server);
        } else if (byRequest) {
            recordCrashOf(fingerprint, CRASHES_OF_A_REQUEST_ALLOWED, instance);
            crash(server);
        }
    }

    private void recordCrashOf(RequestPart cause, int allowed, Instance sender) {
        Crashes of = crashes.computeIfAbsent(cause, each -> new Crashes());
        boolean late = of.lastAllowedAt != null && now.minus(of.lastAllowedAt).compareTo(CONTACT_BOUND) > 0;
        if (late && !cutNow() && now.minus(sender.inContactSince).compareTo(CONTACT_BOUND) > 0) {
            of.straysAfterBound++;
        }
        of.count++;
        if (of.count == allowed) {
            of.lastAllowedAt = now;
        }
    }

    private void crash(Server server) {
        if (now.compareTo(server.downUntil) < 0) {
            return;
        }
        Map<Instance, List<RequestParts>> implicated = new LinkedHashMap<>();
        for (Stream stream : server.streams) {
            boolean begins = now.minus(stream.start()).compareTo(Duration.ofMillis(500)) < 0;
            if (begins && stream.observer() == stream.instance().quarantine) {
                implicated
                        .computeIfAbsent(stream.instance(), each -> new ArrayList<>())
                        .add(stream.prompt());
            }
        }
        ServerRun run = new ServerRun(ServerId.of("s-" + server.number), server.run);
        implicated.forEach((instance, prompts) -> {
            instance.quarantine.recordCrash(run, prompts, now);
            tell(instance);
        });
        server.streams.clear();
        server.run++;
        server.downUntil = now.plus(DOWN_TIME);
    }

    private void finishStreams(Server server) {
        server.streams.removeIf(stream -> {
            boolean finished = now.minus(stream.start()).compareTo(ANSWER_TIME) >= 0;
            if (finished) {
                stream.observer().recordSoundAnswer(stream.prompt(), now);
            }
            return finished;
        });
    }

    private void restart(Instance instance) {
        instance.quarantine = RequestQuarantine.create();
        instance.inContactSince = now;
    }

    private boolean cutNow() {
        return now.compareTo(CUT_START) >= 0 && now.compareTo(CUT_END) < 0;
    }

    private void tellIfDue(Instance instance) {
        if (now.compareTo(instance.nextEvidence) >= 0) {
            instance.nextEvidence = now.plus(EVIDENCE_INTERVAL);
            tell(instance);
        }
    }

    private void tell(Instance from) {
        CrashEvidence evidence = from.quarantine.evidence(now);
        for (Instance to : instances) {
            boolean cut = cutNow() && from.number % 2 != to.number % 2;
            if (to != from && !cut && !evidence.isEmpty() && random.nextDouble() >= DATAGRAM_LOSS) {
                to.quarantine.merge(evidence, now);
            }
        }
    }
}
