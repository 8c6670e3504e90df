import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Case: a decode server crashes while the others are nearly full; its streams may be resumed elsewhere. */
final class HungStreams {

    private static final int TIMEOUT_MILLIS = 4000;
    /** As the pages say: two seconds, four times the objective or eight times the pause, whichever is longest. */
    private static final int PATIENCE_MILLIS = 3600;

    private static final int CLIENTS = 46;
    private static final int ROUNDS = 3;

    private HungStreams() {}

    public static void main(String[] arguments) {
        Case.run(
                arguments,
                430,
                deployment -> {
                    deployment.configure(List.of(Deployment.streams("/draft/", true, 2, TIMEOUT_MILLIS)));
                    deployment.addModelServers(2, 6, 39);
                },
                HungStreams::play);
    }

    private static int play(Deployment deployment, Record record, boolean trouble) throws Exception {
        List<Caller.Outcome> outcomes = Collections.synchronizedList(new ArrayList<>());
        long end = record.millis() + 30_000;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            clients.add(Thread.ofVirtual().start(() -> {
                try {
                    Thread.sleep(client * 70);
                    Caller caller = new Caller(record, Deployment.HOST);
                    while (record.millis() < end) {
                        Caller.Outcome outcome = caller.stream(
                                deployment.choose(client), "/draft/1", 3000, 72, 14_000, PATIENCE_MILLIS);
                        outcomes.add(outcome);
                        if (outcome.retryAfter() != null) {
                            Thread.sleep((long) (1000 * Double.parseDouble(outcome.retryAfter())));
                        }
                    }
                } catch (Exception e) {
                    record.line("client %d: %s", client, e);
                }
            }));
        }
        for (int round = 0; round < ROUNDS; round++) {
            Thread.sleep(7000);
            if (trouble) {
                ModelServer server = deployment.decodeServers.get(round);
                server.crash();
                Thread.sleep(2500);
                server.startAgain();
            }
        }
        for (Thread client : clients) {
            client.join();
        }
        return judge(outcomes, record);
    }

    /**
     * CONFIG: some requests last longer than their route's timeout; eight or more of them, and over a quarter, have no
     * final answer 0.5 s after it.
     */
    private static int judge(List<Caller.Outcome> outcomes, Record record) {
        int longer = 0;
        int late = 0;
        int complete = 0;
        for (Caller.Outcome outcome : outcomes) {
            long lasted = outcome.endedAt() - outcome.sentAt();
            if (outcome.end() == Caller.End.ANSWERED && outcome.status() == 200) {
                complete++;
            }
            if (lasted > TIMEOUT_MILLIS) {
                longer++;
                if (lasted > TIMEOUT_MILLIS + 500) {
                    late++;
                    record.line("late: %s ends by %s after %d ms", outcome.id(), outcome.end(), lasted);
                }
            }
        }
        String result = String.format(
                "requests %d, complete %d, longer than the timeout %d, without a final answer 0.5 s after it %d",
                outcomes.size(), complete, longer, late);
        record.line("%s", result);
        System.out.println(result);
        if (complete < 100) {
            return Case.NOT_RUN;
        }
        return late >= 8 && late * 4 > longer ? Case.BROKEN : Case.HELD;
    }
}
