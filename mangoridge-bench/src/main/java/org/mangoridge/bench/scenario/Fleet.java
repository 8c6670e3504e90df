package org.mangoridge.bench.scenario;

import java.time.Duration;
import java.util.List;

import org.mangoridge.bench.load.LengthDistribution;
import org.mangoridge.bench.load.TrafficClass;
import org.mangoridge.standin.engine.EngineProfile;

/**
 * The servers of one deployment and the classes of its callers.
 *
 * @param service the model service
 * @param model its model
 * @param prefillServers how many servers prefill
 * @param decodeServers how many servers decode
 * @param plainService the plain service beside it
 * @param plainServers how many servers that has
 * @param zones the availability zones, which the servers are spread over
 * @param classes the caller classes
 */
public record Fleet(
        String service,
        String model,
        int prefillServers,
        int decodeServers,
        String plainService,
        int plainServers,
        List<String> zones,
        List<TrafficClass> classes) {

    private static final String VERSION = "1";
    private static final Duration CAN_WAIT = Duration.ofSeconds(4);

    public Fleet {
        zones = List.copyOf(zones);
        classes = List.copyOf(classes);
    }

    /** Returns the deployment of the Chalk Traders: counter staff who can't wait, and drafts that can. */
    public static Fleet chalk() {
        TrafficClass counter = new TrafficClass(
                "counter",
                Duration.ofMillis(340),
                Duration.ofMillis(39),
                false,
                Duration.ZERO,
                12,
                0.75,
                new LengthDistribution(150, 0.8, 30, 3000),
                20,
                new LengthDistribution(512, 0.3, 256, 1024),
                new LengthDistribution(60, 0.7, 16, 240));
        TrafficClass drafts = new TrafficClass(
                "drafts",
                Duration.ofSeconds(2),
                Duration.ofMillis(60),
                true,
                CAN_WAIT,
                12,
                0.25,
                new LengthDistribution(2000, 0.9, 300, 24_000),
                40,
                new LengthDistribution(1024, 0.3, 512, 2048),
                new LengthDistribution(120, 0.6, 32, 256));
        return new Fleet(
                "draftroom",
                "chalk-llm",
                2,
                4,
                "orderdesk",
                3,
                List.of("scot-central-a", "scot-central-b", "scot-central-c"),
                List.of(counter, drafts));
    }

    /** Returns the deployment of Nyktomouseio: chaperones who can't wait, and storylines that can. */
    public static Fleet museum() {
        TrafficClass chaperones = new TrafficClass(
                "chaperones",
                Duration.ofMillis(340),
                Duration.ofMillis(39),
                false,
                Duration.ZERO,
                12,
                0.7,
                new LengthDistribution(80, 0.6, 20, 600),
                30,
                new LengthDistribution(2048, 0.4, 512, 6144),
                new LengthDistribution(50, 0.6, 16, 200));
        TrafficClass storylines = new TrafficClass(
                "storylines",
                Duration.ofSeconds(2),
                Duration.ofMillis(60),
                true,
                CAN_WAIT,
                12,
                0.3,
                new LengthDistribution(3000, 0.8, 500, 24_000),
                30,
                new LengthDistribution(1024, 0.3, 512, 2048),
                new LengthDistribution(160, 0.5, 64, 320));
        return new Fleet(
                "guide-llm",
                "museum-llm",
                3,
                7,
                "booking-app",
                3,
                List.of("attica-a", "attica-b", "attica-c"),
                List.of(chaperones, storylines));
    }

    /** Returns what each prefill server can do. */
    public EngineProfile prefillProfile() {
        return EngineProfile.of("prefill", model, VERSION);
    }

    /** Returns what each decode server can do. */
    public EngineProfile decodeProfile() {
        return EngineProfile.of("decode", model, VERSION);
    }

    /** Returns the name of a prefill server, counted from 1. */
    public String prefillServer(int number) {
        return "prefill-" + number;
    }

    /** Returns the name of a decode server, counted from 1. */
    public String decodeServer(int number) {
        return "decode-" + number;
    }

    /** Returns the zone of the {@code index}th server or instance. */
    public String zone(int index) {
        return zones.get(index % zones.size());
    }
}
