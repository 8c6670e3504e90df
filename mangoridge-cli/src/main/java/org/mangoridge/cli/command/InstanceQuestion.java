package org.mangoridge.cli.command;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;

import org.apache.commons.cli.Options;
import org.mangoridge.core.Result;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.http.HttpAnswer;
import org.mangoridge.http.HttpCall;
import org.mangoridge.http.HttpFailure;
import org.mangoridge.http.HttpTransport;

/**
 * The question where an instance would send a request now, which sends nothing.
 *
 * @param instance the metrics address of the instance
 * @param query the query, with values encoded
 */
record InstanceQuestion(HostPort instance, String query) {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final List<String> REQUIRED = List.of("host", "path");
    private static final List<String> OPTIONAL = List.of("workspace", "prompt", "max-output");

    static Options addOptions(Options options) {
        return options.addOption(null, "instance", true, "ask the instance with this metrics address, HOST:PORT")
                .addOption(null, "host", true, "the host that the request names")
                .addOption(null, "path", true, "the path of the request")
                .addOption(null, "workspace", true, "the workspace whose key it shows")
                .addOption(null, "prompt", true, "its prompt tokens")
                .addOption(null, "max-output", true, "the most tokens that it lets be generated");
    }

    /** Tells whether any option of a question was given. */
    static boolean isAsked(Invocation invocation) {
        return invocation.has("instance")
                || REQUIRED.stream().anyMatch(invocation::has)
                || OPTIONAL.stream().anyMatch(invocation::has);
    }

    /**
     * Returns the question of a command line.
     *
     * @throws UsageException if an option that is needed is absent, or an argument is given
     */
    static InstanceQuestion of(Invocation invocation) {
        if (!invocation.arguments().isEmpty()) {
            throw new UsageException("a request id can't be given with --instance");
        }
        HostPort instance = invocation.requiredAddress("instance");
        StringBuilder query = new StringBuilder();
        REQUIRED.forEach(name -> add(query, name, invocation.requiredOption(name)));
        OPTIONAL.forEach(name -> invocation.option(name).ifPresent(value -> add(query, name, value)));
        return new InstanceQuestion(instance, query.toString());
    }

    private static void add(StringBuilder query, String name, String value) {
        query.append(query.isEmpty() ? "" : "&")
                .append(name.replace('-', '_'))
                .append('=')
                .append(URLEncoder.encode(value, StandardCharsets.UTF_8));
    }

    /** Asks the instance and prints its answer. */
    ExitCode ask(Invocation invocation) {
        HttpCall call = HttpCall.get(instance.httpUri("/explain?" + query), TIMEOUT);
        try (HttpTransport transport = HttpTransport.create(TIMEOUT)) {
            return switch (transport.send(call)) {
                case Result.Err<HttpAnswer, HttpFailure> err ->
                    failed(invocation, err.error().detail());
                case Result.Ok<HttpAnswer, HttpFailure> ok
                when !ok.value().isSuccess() ->
                    failed(invocation, ok.value().text().strip());
                case Result.Ok<HttpAnswer, HttpFailure> ok -> {
                    invocation.out().print(ok.value().text());
                    yield ExitCode.DONE;
                }
            };
        }
    }

    private static ExitCode failed(Invocation invocation, String detail) {
        invocation.err().println("mangoridge explain: " + detail);
        return ExitCode.FAILED;
    }
}
