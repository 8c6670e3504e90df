package rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** An entry instance as a process, started by the command of the deploy file. */
public final class Node {

    public final String name;
    public final String ip;
    public final int front;
    public final int ready;
    private final Path settings;
    private final Path log;
    public Process process;

    /**
     * Writes the settings of an instance.
     *
     * @param ports four free ports and one more after them, the same on all machines
     */
    public Node(Path folder, String name, String ip, String zone, int[] ports, List<String> seedIps, String store,
            String bounds) throws IOException {
        this.name = name;
        this.ip = ip;
        this.front = ports[0];
        this.ready = ports[1];
        this.settings = folder.resolve(name + ".toml");
        this.log = folder.resolve(name + ".log");
        List<String> seeds = seedIps.stream().map(each -> '"' + each + ':' + ports[2] + '"').toList();
        Files.writeString(settings, """
            node = "%s"
            role = "entry"
            machine_class = "front"
            serves = ["front","control"]
            ip = "%s"
            zone = "%s"
            region = "attica"
            port_range = [%d,%d]
            seeds = [%s]
            bootstrap = true
            counts_as_loss = false
            discovery = "platform"
            entry = "virtual_ip"
            heartbeat_ms = 1200
            contracts = ["base","drain","config","cost","retry","recover","split","stream","engine","platform"]
            [zones]
            attica-a = "attica"
            attica-b = "attica"
            attica-c = "attica"
            [listen]
            front = "%s:%d"
            ready = "%s:%d"
            control = "%s:%d"
            [limits]
            cpu_share = 0.75
            cores = 1
            memory_mb = 430
            max_fds = 4100
            link_mbps = 1000.0
            disk_mb = 0
            [fault_tolerance]
            machines = 1
            zones = 1
            regions = 0
            [bounds]
            %s
            [platform]
            address = "%s"
            form = "objects"
            writes_per_s = 400
            reads_per_s = 2000
            history_s = 20
            value_bytes = 1048576
            ttl_min_ms = 1000
            """.formatted(name, ip, zone, ports[3], ports[4], String.join(",", seeds), ip, front, ip, ready, ip,
                ports[2], bounds, store));
    }

    /** The bounds of the sheet of the museum sleepovers, a small deployment. */
    public static String bounds() {
        return String.join("\n", "seed_lag_s = 3", "reuse_after_s = 2", "contact_ms = 3000", "ack_ms = 4000",
                "catch_up_s = 4", "drain_ms = 2000", "grace_s = 8", "loss_slack_ms = 200",
                "config_deadline_ms = 2000", "downgrade_slack_ms = 250", "max_skew_ms = 5000",
                "retry_budget_ratio = 0.2", "budget_window_s = 10", "budget_slack = 54", "recovery_s = 12",
                "transit_ms = 120", "reuse_window_s = 7.5", "require_fence = true", "lease_ms = 3000",
                "thaw_slack_ms = 300");
    }

    /** Returns ports that are free at the loopback addresses of three instances now. */
    public static int[] freePorts() throws IOException {
        java.util.Random random = new java.util.Random();
        while (true) {
            int base = 20000 + random.nextInt(10000);
            int[] ports = {base, base + 1, base + 2, base + 3, base + 4};
            if (Arrays.stream(ports).allMatch(Node::isFree)) {
                return ports;
            }
        }
    }

    private static boolean isFree(int port) {
        for (String ip : List.of("127.0.0.1", "127.0.0.2", "127.0.0.3")) {
            try (java.net.ServerSocket tcp =
                            new java.net.ServerSocket(port, 1, java.net.InetAddress.getByName(ip));
                    java.net.DatagramSocket udp =
                            new java.net.DatagramSocket(port, java.net.InetAddress.getByName(ip))) {
                // Free.
            } catch (IOException e) {
                return false;
            }
        }
        return true;
    }

    public void start() throws IOException {
        String command = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        List<String> words = new ArrayList<>(Arrays.asList(command.substring(7, command.length() - 1).split(" ")));
        ProcessBuilder builder = new ProcessBuilder(words)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("MANGORIDGE_BOOT", settings.toString());
        process = builder.start();
        // Also if the script itself is ended.
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    /** Waits until the instance says that it is ready; returns false if it does not within 20 s. */
    public boolean awaitReady() throws InterruptedException {
        for (int i = 0; i < 200; i++) {
            if (isReady()) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    public boolean isReady() {
        try (java.net.Socket socket = new java.net.Socket(ip, ready)) {
            socket.setSoTimeout(1000);
            socket.getOutputStream().write(("GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").getBytes());
            Http.Message answer = Http.response(socket.getInputStream());
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    public void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    public void end() throws InterruptedException {
        if (process != null && process.isAlive()) {
            process.destroyForcibly();
            process.waitFor(5, TimeUnit.SECONDS);
        }
    }
}
