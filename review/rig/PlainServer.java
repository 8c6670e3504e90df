package rig;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** A server of a plain service, which works for some time on each request. */
public class PlainServer extends Server {

    /** Milliseconds that a request takes. */
    public volatile int workMillis = 20;

    public PlainServer(Record record, Store store, String id, String service, String zone, int slots)
            throws IOException {
        super(record, store, id, service, zone, null, slots);
    }

    /** Called when a request has arrived that the server is about to run. */
    protected void arrived(Http.Message request) {}

    /** Called when a request has run. */
    protected void ran(Http.Message request) {}

    @Override
    protected void handle(Http.Message request, Connection connection) throws IOException, InterruptedException {
        String requestId = request.header("Request-Id");
        arrived(request);
        Thread.sleep(workMillis);
        ran(request);
        Http.respond(connection.out, 200,
                List.of("Request-Id: " + requestId, "Response-Signature: sig-" + id + "-" + requestId),
                ("answer to " + requestId).getBytes(StandardCharsets.UTF_8));
    }
}
