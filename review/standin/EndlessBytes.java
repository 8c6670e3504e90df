import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

/** Case: one answer of a decode server goes over into bytes without end that are no events. */
final class EndlessBytes {

    private static final int TIMEOUT_MILLIS = 800;
    private static final int DEADLINE_MILLIS = 1500;
    private static final int PATIENCE_MILLIS = 3600;
    private static final int STREAM_CLIENTS = 30;
    private static final int CALL_CLIENTS = 30;
    /** The pages' share of spoiled answers is 0.02. */
    private static final int ANSWERS_PER_SPOILED = 50;

    private EndlessBytes() {}

    /**
     * Runs the case.
     *
     * @param arguments those of {@link Case#run}, and either "letters" or "lines"
     */
    public static void main(String[] arguments) {
        byte[] garbage = arguments[3].equals("letters") ? chunks('x', 64) : chunks('\n', 16384);
        Case.run(
                arguments,
                280,
                deployment -> {
                    deployment.configure(List.of(
                            Deployment.streams("/draft/", false, 1, 14_000),
                            Deployment.calls("/order/", "unsafe", 1, TIMEOUT_MILLIS)));
                    deployment.addModelServers(2, 6, 39);
                    deployment.addPlainServers(3, 6, 21);
                },
                (deployment, record, trouble) -> play(deployment, record, trouble ? garbage : null));
    }

    private static int play(Deployment deployment, Record record, byte[] garbage) throws Exception {
        AtomicBoolean spoiled = new AtomicBoolean();
        if (garbage != null) {
            ModelServer server = deployment.decodeServers.get(0);
            server.fault = (request, event, out) -> {
                if (event != 10 || server.answers.get() < ANSWERS_PER_SPOILED || spoiled.getAndSet(true)) {
                    return false;
                }
                writeWithoutEnd(request, server, garbage, out, record);
                return true;
            };
        }
        List<Caller.Outcome> calls = Collections.synchronizedList(new ArrayList<>());
        long end = record.millis() + 45_000;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CALL_CLIENTS; i++) {
            int client = i;
            clients.add(Thread.ofVirtual().start(() -> {
                try {
                    Caller caller = new Caller(record, Deployment.HOST);
                    while (record.millis() < end) {
                        calls.add(caller.call(
                                deployment.choose(client), "POST", "/order/1", "y".repeat(600), DEADLINE_MILLIS));
                        Thread.sleep(400);
                    }
                } catch (Exception e) {
                    record.line("client %d: %s", client, e);
                }
            }));
        }
        for (int i = 0; i < STREAM_CLIENTS; i++) {
            int client = i;
            clients.add(Thread.ofVirtual().start(() -> {
                try {
                    Thread.sleep(client * 100);
                    Caller caller = new Caller(record, Deployment.HOST);
                    while (record.millis() < end) {
                        caller.stream(deployment.choose(client), "/draft/1", 3000, 72, 14_000, PATIENCE_MILLIS);
                    }
                } catch (Exception e) {
                    record.line("client %d: %s", client, e);
                }
            }));
        }
        for (Thread client : clients) {
            client.join();
        }
        return garbage != null && !spoiled.get() ? Case.NOT_RUN : judge(calls, record);
    }

    /** Returns some chunks of a body that hold nothing but one character. */
    private static byte[] chunks(char character, int size) {
        String chunk = Integer.toHexString(size) + "\r\n" + String.valueOf(character).repeat(size) + "\r\n";
        return chunk.repeat(Math.max(1, 32768 / size)).getBytes(StandardCharsets.US_ASCII);
    }

    /** Writes chunks until the instance closes the connection. */
    private static void writeWithoutEnd(
            String request, ModelServer server, byte[] garbage, OutputStream out, Record record) {
        long begun = record.millis();
        long sent = 0;
        record.line("%s answers %s with other bytes from now on", server.id(), request);
        try {
            while (true) {
                out.write(garbage);
                out.flush();
                sent += garbage.length;
            }
        } catch (IOException e) {
            record.line("the bytes without end are over: %d in %d ms", sent, record.millis() - begun);
        }
    }

    /**
     * CONFIG, both sentences on the timeout: of the requests that are still unanswered at their route's timeout, more than
     * half have no answer half a second later; and these are eight or more.
     */
    private static int judge(List<Caller.Outcome> calls, Record record) {
        int unanswered = 0;
        int late = 0;
        int answered = 0;
        for (Caller.Outcome call : calls) {
            long lasted = call.endedAt() - call.sentAt();
            if (call.end() == Caller.End.ANSWERED && call.status() == 200) {
                answered++;
            }
            if (lasted > TIMEOUT_MILLIS) {
                unanswered++;
                if (lasted > TIMEOUT_MILLIS + 500) {
                    late++;
                    record.line("late: %s ends by %s after %d ms", call.id(), call.end(), lasted);
                }
            }
        }
        String result = String.format(
                "calls %d, answered with 200 %d, unanswered at the timeout %d, and 0.5 s after it %d",
                calls.size(), answered, unanswered, late);
        record.line("%s", result);
        System.out.println(result);
        if (answered < 100) {
            return Case.NOT_RUN;
        }
        return late >= 8 && late * 2 > unanswered ? Case.BROKEN : Case.HELD;
    }
}
