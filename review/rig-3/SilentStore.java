import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** All open connections to the platform's store fall silent, and the operator moves a route some seconds later. */
final class SilentStore {

    private static final long CONTACT_MILLIS = 3000;
    private static final long CONFIG_DEADLINE_MILLIS = 2000;
    private static final String HOST = "ficu95.example";

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments, SilentStore::run);
    }

    private static int run(Rig rig) throws Exception {
        Rig.Store store = rig.new Store(Rig.host(1));
        Rig.Proxy proxy = rig.new Proxy(Rig.host(1), Rig.host(1), store.listener.port);
        Rig.PlainServer before = rig.new PlainServer(Rig.host(2), "desk-old", 20);
        Rig.PlainServer after = rig.new PlainServer(Rig.host(2), "desk-new", 20);
        store.put("servers", before.id, before.entry("z-a"));
        store.put("servers", after.id, after.entry("z-a"));
        String services = Rig.plainService("desk-old") + "," + Rig.plainService("desk-new");
        store.put("config", "main", Rig.manifest(
                7, Rig.route("stock", HOST, "/stock/", "safe", "desk-old", ""), services, 16384));
        List<Rig.Node> nodes = rig.nodes(3, Rig.host(1) + ":" + proxy.port());
        for (Rig.Node node : nodes) {
            node.start();
        }
        rig.awaitReady(nodes);
        Map<String, Long> sentAt = new ConcurrentHashMap<>();
        for (Rig.Node node : nodes) {
            Thread.ofVirtual().start(() -> requests(rig, node, sentAt));
        }
        Rig.sleep(3000);
        if (Rig.TROUBLE) {
            rig.log(proxy.silence() + " open connections to the store are silent from now on; new ones work");
        }
        Rig.sleep(CONTACT_MILLIS + 1000);
        long confirmed = store.put("config", "main", Rig.manifest(
                8, Rig.route("stock", HOST, "/stock/", "safe", "desk-new", ""), services, 16384));
        rig.log("the store confirms version 8, which moves the route from desk-old to desk-new");
        Rig.sleep(CONFIG_DEADLINE_MILLIS + 6000);
        long limit = confirmed + CONFIG_DEADLINE_MILLIS;
        int late = 0;
        int judged = 0;
        long lastLate = 0;
        for (Rig.Arrival arrival : rig.arrivals) {
            long sent = sentAt.getOrDefault(arrival.id(), -1L);
            if (sent > limit) {
                judged++;
                if (arrival.service().equals("desk-old")) {
                    late++;
                    lastLate = Math.max(lastLate, sent - confirmed);
                }
            }
        }
        rig.log("connections that the store's proxy accepted: " + proxy.accepted.get());
        rig.log(judged + " requests sent later than " + CONFIG_DEADLINE_MILLIS + " ms after the confirmation reached servers, "
                + late + " of them the old service; the last one was sent " + lastLate + " ms after the confirmation");
        if (judged == 0) {
            return Rig.COULD_NOT_RUN;
        }
        return late > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private static void requests(Rig rig, Rig.Node node, Map<String, Long> sentAt) {
        Rig.Client client = rig.new Client(node.ip, node.frontPort);
        while (true) {
            String id = Rig.hex(16);
            sentAt.put(id, rig.now());
            String outcome;
            try {
                outcome = client.call(
                        "GET /stock/2f HTTP/1.1\r\nHost: " + HOST + "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 1500\r\n",
                        new byte[0],
                        2000).first;
            } catch (Exception e) {
                outcome = e.toString();
            }
            String ran = rig.arrivals.stream()
                    .filter(each -> each.id().equals(id))
                    .map(Rig.Arrival::service)
                    .findFirst()
                    .orElse("no server");
            rig.log(node.name + " " + id + " sent at " + sentAt.get(id) + ": " + outcome + ", run by " + ran);
            Rig.sleep(100);
        }
    }
}
