import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Case: the decode servers preempt streams for a while around the planned stop of an instance. */
final class SilentServers {

    private static final int CLIENTS = 24;
    private static final int PATIENCE_MILLIS = 3600;
    private static final int PREEMPTED_MILLIS = 1500;
    /** The event of a run before which its stream is preempted. */
    private static final int PREEMPTED_BEFORE = 20;

    private static final int GRACE_MILLIS = 8000;

    private SilentServers() {}

    /** A stream and the instance that took it. */
    private record Taken(Instance instance, Caller.Outcome outcome) {}

    public static void main(String[] arguments) {
        Case.run(
                arguments,
                430,
                deployment -> {
                    deployment.configure(List.of(Deployment.streams("/draft/", true, 2, 14_000)));
                    deployment.addModelServers(2, 6, 39);
                },
                SilentServers::play);
    }

    private static int play(Deployment deployment, Record record, boolean trouble) throws Exception {
        List<Taken> streams = Collections.synchronizedList(new ArrayList<>());
        long stopAt = record.millis() + 8000;
        long end = stopAt + 6000;
        if (trouble) {
            for (ModelServer server : deployment.decodeServers) {
                server.preemption = run ->
                        run.events() == PREEMPTED_BEFORE && record.millis() > stopAt - 2000 ? PREEMPTED_MILLIS : 0;
            }
        }
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            clients.add(Thread.ofVirtual().start(() -> {
                try {
                    Thread.sleep(client * 70);
                    Caller caller = new Caller(record, Deployment.HOST);
                    while (record.millis() < end) {
                        Instance instance = deployment.choose(client);
                        streams.add(new Taken(
                                instance,
                                caller.stream(instance, "/draft/1", 3000, 72, 14_000, PATIENCE_MILLIS)));
                    }
                } catch (Exception e) {
                    record.line("client %d: %s", client, e);
                }
            }));
        }
        Thread.sleep(stopAt - record.millis());
        Instance stopped = deployment.instances.get(0);
        record.line("SIGTERM to %s", stopped.node);
        stopped.signal("TERM");
        for (Thread client : clients) {
            client.join();
        }
        return judge(streams, stopped, stopAt, record);
    }

    /**
     * LOST: around a planned stop, the instance that took a request, and has passed it on, ends the connection without a
     * complete answer. Not counted are requests that end in the last sixth of the grace period or later.
     */
    private static int judge(List<Taken> streams, Instance stopped, long stopAt, Record record) {
        int taken = 0;
        int cut = 0;
        int complete = 0;
        for (Taken stream : streams) {
            Caller.Outcome outcome = stream.outcome();
            complete += outcome.end() == Caller.End.ANSWERED && outcome.status() == 200 ? 1 : 0;
            boolean around = outcome.endedAt() > stopAt && outcome.endedAt() < stopAt + GRACE_MILLIS * 5 / 6;
            if (stream.instance() == stopped && around) {
                taken++;
                if (outcome.end() == Caller.End.CLOSED && outcome.events() > 0) {
                    cut++;
                    record.line("cut: %s %d ms after the SIGTERM", outcome.id(), outcome.endedAt() - stopAt);
                }
            }
        }
        String result = String.format(
                "streams %d, complete %d; at the stopped instance after the SIGTERM %d, cut %d",
                streams.size(), complete, taken, cut);
        record.line("%s", result);
        System.out.println(result);
        if (complete < 20 || taken == 0) {
            return Case.NOT_RUN;
        }
        return cut > 0 ? Case.BROKEN : Case.HELD;
    }
}
