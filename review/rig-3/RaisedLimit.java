import java.util.ArrayList;
import java.util.List;

/** The operator raises the limit of headers while callers keep their connections. */
final class RaisedLimit {

    private static final long CONFIG_DEADLINE_MILLIS = 2000;
    private static final int CALLERS_PER_NODE = 15;
    private static final int LOW_LIMIT_BYTES = 8192;
    private static final int HIGH_LIMIT_BYTES = 16384;
    private static final int HEADER_BYTES = 10_000;
    private static final String HOST = "ficu95.example";

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments, RaisedLimit::run);
    }

    private static int run(Rig rig) throws Exception {
        Rig.Store store = rig.new Store(Rig.host(1));
        Rig.PlainServer server = rig.new PlainServer(Rig.host(2), "desk", 20);
        store.put("servers", server.id, server.entry("z-a"));
        String routes = Rig.route("order", HOST, "/order/", "unsafe", "desk", "");
        store.put("config", "main", Rig.manifest(
                7, routes, Rig.plainService("desk"), Rig.TROUBLE ? LOW_LIMIT_BYTES : HIGH_LIMIT_BYTES));
        List<Rig.Node> nodes = rig.nodes(2, store.listener.address());
        for (Rig.Node node : nodes) {
            node.start();
        }
        rig.awaitReady(nodes);
        Rig.sleep(3500);
        List<Rig.Client> clients = new ArrayList<>();
        int requests = 0;
        for (Rig.Node node : nodes) {
            for (int i = 0; i < CALLERS_PER_NODE; i++) {
                Rig.Client client = rig.new Client(node.ip, node.frontPort);
                send(rig, client, "");
                requests++;
                clients.add(client);
            }
        }
        if (Rig.TROUBLE) {
            store.put("config", "main", Rig.manifest(8, routes, Rig.plainService("desk"), HIGH_LIMIT_BYTES));
            rig.log("the store confirms version 8 with max_header_bytes " + HIGH_LIMIT_BYTES + " instead of " + LOW_LIMIT_BYTES);
        }
        Rig.sleep(CONFIG_DEADLINE_MILLIS + 2000);
        int denied = 0;
        for (Rig.Client client : clients) {
            if (!client.isConnected()) {
                rig.log("a connection was not kept");
                return Rig.COULD_NOT_RUN;
            }
            int status = send(rig, client, "Cookie: " + "c".repeat(HEADER_BYTES) + "\r\n");
            requests++;
            if (status >= 300 && status < 500 && status != 408 && status != 421 && status != 429) {
                denied++;
            }
        }
        double allowed = 5 + requests / 500.0;
        rig.log(denied + " of " + requests + " requests were ended with a 3xx or 4xx of the instances; allowed are " + allowed);
        return denied > allowed ? Rig.BROKEN : Rig.HELD;
    }

    private static int send(Rig rig, Rig.Client client, String header) throws Exception {
        String id = Rig.hex(16);
        Rig.Message answer = client.call(
                "POST /order/2f HTTP/1.1\r\nHost: " + HOST + "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 1500\r\n" + header
                        + "Content-Length: 5\r\n",
                "order".getBytes(),
                2000);
        boolean ran = rig.arrivals.stream().anyMatch(each -> each.id().equals(id));
        rig.log(id + " with " + header.length() + " more bytes of headers: " + answer.first + ", "
                + (ran ? "run by a server" : "reached no server"));
        return answer.status();
    }
}
