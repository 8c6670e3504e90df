package org.mangoridge.cli.command;

import java.util.ArrayList;
import java.util.List;

import org.apache.commons.cli.Options;
import org.mangoridge.core.Result;
import org.mangoridge.http.Json;

/** Prints the state of an instance and which others lag behind its configuration. */
public final class StatusCommand implements Command {

    /**
     * What another instance has in force, as the asked one knows it.
     *
     * @param instance its name
     * @param generation the generation
     */
    public record PeerGeneration(String instance, long generation) {}

    /**
     * The state of an instance.
     *
     * @param instance its name
     * @param incarnation its run
     * @param generation the configuration in force
     * @param hash its hash
     * @param ready whether it takes requests
     * @param source where the configuration came from, empty before the first
     * @param problem what is wrong with a newer configuration or with following it, empty if nothing
     * @param peers what the others have in force
     */
    public record Status(
            String instance,
            long incarnation,
            long generation,
            String hash,
            boolean ready,
            String source,
            String problem,
            List<PeerGeneration> peers) {

        public Status {
            peers = peers == null ? List.of() : List.copyOf(peers);
        }

        /** Returns the instances that have not adopted {@code wanted}. */
        List<String> behind(long wanted) {
            List<String> behind = new ArrayList<>();
            if (generation < wanted) {
                behind.add(instance + " (" + generation + ")");
            }
            for (PeerGeneration peer : peers) {
                if (peer.generation() < wanted) {
                    behind.add(peer.instance() + " (" + peer.generation() + ")");
                }
            }
            return behind;
        }
    }

    @Override
    public String name() {
        return "status";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "Print the state of an instance and which others lag behind its configuration.";
    }

    @Override
    public Options options() {
        return OperatorClient.addOptions(new Options()).addOption(null, "json", false, "print JSON");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        try (OperatorClient client = OperatorClient.of(invocation)) {
            Result<Status, OperatorClient.CallFailure> status = client.get("/status", Status.class);
            if (!status.isOk()) {
                invocation.err().println(status.error().detail());
                return ExitCode.FAILED;
            }
            print(invocation, status.value());
            return ExitCode.DONE;
        }
    }

    private static void print(Invocation invocation, Status status) {
        if (invocation.has("json")) {
            invocation.out().println(Json.text(status));
            return;
        }
        invocation.out().printf("instance    %s, run %d%n", status.instance(), status.incarnation());
        invocation.out().printf("ready       %s%n", status.ready() ? "yes" : "no");
        invocation
                .out()
                .printf("generation  %d from %s, hash %s%n", status.generation(), status.source(), status.hash());
        if (status.problem() != null && !status.problem().isEmpty()) {
            invocation.out().printf("problem     %s%n", status.problem());
        }
        List<String> behind = status.behind(status.generation());
        invocation
                .out()
                .printf(
                        "peers       %d known, behind: %s%n",
                        status.peers().size(), behind.isEmpty() ? "none" : String.join(", ", behind));
    }
}
