import java.math.BigInteger;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Case: another writer's entry among those of the servers, then a final fault that kills all processes. */
final class ForeignEntry {

    private static final int CLIENTS = 24;
    private static final int DOWN_MILLIS = 1200;
    private static final int RECOVERY_MILLIS = 12_000;
    private static final int MEASURED_MILLIS = 10_000;
    private static final int DIGITS = 1200;

    private ForeignEntry() {}

    public static void main(String[] arguments) {
        Case.run(
                arguments,
                280,
                deployment -> {
                    deployment.configure(List.of(Deployment.calls("/order/", "unsafe", 1, 800)));
                    deployment.addModelServers(2, 6, 39);
                    deployment.addPlainServers(3, 6, 21);
                },
                ForeignEntry::play);
    }

    private static int play(Deployment deployment, Record record, boolean trouble) throws Exception {
        List<Caller.Outcome> calls = Collections.synchronizedList(new ArrayList<>());
        long killAt = record.millis() + 9000;
        long backAt = killAt + DOWN_MILLIS;
        long end = backAt + RECOVERY_MILLIS + MEASURED_MILLIS;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int client = i;
            clients.add(Thread.ofVirtual().start(() -> {
                try {
                    Caller caller = new Caller(record, Deployment.HOST);
                    while (record.millis() < end) {
                        calls.add(caller.call(deployment.choose(client), "POST", "/order/1", "y".repeat(600), 1500));
                        Thread.sleep(300);
                    }
                } catch (Exception e) {
                    record.line("client %d: %s", client, e);
                }
            }));
        }
        Thread.sleep(5000);
        if (trouble) {
            record.line("another writer's entry appears");
            deployment.store.put(
                    "servers",
                    "i-other",
                    Json.of(
                            "service", Deployment.PLAIN, "address", "127.0.0.1:9", "zone", "zone-a", "slots",
                            new BigInteger("1".repeat(DIGITS)), "state", "ready", "seq", 1));
        }
        Thread.sleep(killAt - record.millis());
        record.line("all instances are killed");
        deployment.killAll();
        Thread.sleep(Math.max(1, backAt - record.millis()));
        deployment.startProcesses(280);
        long backSince = record.millis();
        record.line("all instances are started again");
        for (Thread client : clients) {
            client.join();
        }
        return judge(calls, killAt, backSince, record);
    }

    /**
     * RECOVER: of the requests sent later than recovery_s after the machines are back, less than a quarter is served,
     * though a quarter or more was before the final fault.
     */
    private static int judge(List<Caller.Outcome> calls, long killAt, long backSince, Record record) {
        int before = 0;
        int servedBefore = 0;
        int after = 0;
        int servedAfter = 0;
        for (Caller.Outcome call : calls) {
            boolean served = call.end() == Caller.End.ANSWERED && call.status() == 200 && call.signed();
            if (call.sentAt() < killAt) {
                before++;
                servedBefore += served ? 1 : 0;
            } else if (call.sentAt() > backSince + RECOVERY_MILLIS) {
                after++;
                servedAfter += served ? 1 : 0;
            }
        }
        String result = String.format(
                "before the final fault: served %d of %d; later than 12 s after it: served %d of %d",
                servedBefore, before, servedAfter, after);
        record.line("%s", result);
        System.out.println(result);
        if (before < 100 || after < 100 || servedBefore * 4 < before) {
            return Case.NOT_RUN;
        }
        return servedAfter * 4 < after ? Case.BROKEN : Case.HELD;
    }
}
