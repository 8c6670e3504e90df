package org.mangoridge.cli.process;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.mangoridge.core.net.HostPort;

/** An entry instance as a separate process of the built classes. */
final class ServeProcess implements AutoCloseable {

    private static final long END_SECONDS = 10;

    private final Process process;
    private final HostPort callers;
    private final HostPort peers;
    private final HostPort operators;

    private ServeProcess(Process process, HostPort callers, HostPort peers, HostPort operators) {
        this.process = process;
        this.callers = callers;
        this.peers = peers;
        this.operators = operators;
    }

    /** Starts an instance; {@code more} holds further sections of its settings. */
    static ServeProcess start(Path folder, String id, HostPort platform, List<HostPort> seeds, String more)
            throws IOException {
        String settings = """
                [instance]
                id = %s
                zone = zone-a
                [listen]
                caller = 127.0.0.1:0
                peer = 127.0.0.1:0
                operator = 127.0.0.1:0
                [platform]
                address = %s
                [peers]
                seeds = %s
                %s
                """.formatted(
                        id,
                        platform,
                        String.join(",", seeds.stream().map(HostPort::toString).toList()),
                        more);
        Path file = Files.writeString(folder.resolve(id + ".ini"), settings);
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx256m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "org.mangoridge.cli.Main",
                        "serve",
                        "--settings",
                        file.toString())
                .redirectError(folder.resolve(id + ".log").toFile())
                .start();
        BufferedReader out = process.inputReader(StandardCharsets.UTF_8);
        HostPort callers = address(out.readLine());
        HostPort peers = address(out.readLine());
        HostPort operators = address(out.readLine());
        return new ServeProcess(process, callers, peers, operators);
    }

    HostPort callers() {
        return callers;
    }

    HostPort peers() {
        return peers;
    }

    HostPort operators() {
        return operators;
    }

    /** Sends a signal such as {@code STOP} to this process alone. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** Waits for the end and returns the exit code, or -1 if it does not end in time. */
    int awaitExit(long seconds) throws InterruptedException {
        return process.waitFor(seconds, TimeUnit.SECONDS) ? process.exitValue() : -1;
    }

    @Override
    public void close() throws InterruptedException {
        process.destroyForcibly().waitFor(END_SECONDS, TimeUnit.SECONDS);
    }

    private static HostPort address(String line) {
        if (line == null) {
            throw new IllegalStateException("the instance did not start");
        }
        return HostPort.parse(line.substring(line.lastIndexOf(' ') + 1));
    }
}
