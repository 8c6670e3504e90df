package org.mangoridge.cli.command;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

import org.apache.commons.cli.Options;
import org.mangoridge.core.Result;
import org.mangoridge.http.Headers;
import org.mangoridge.http.HttpCall;
import org.mangoridge.http.HttpFailure;
import org.mangoridge.http.HttpLineStream;
import org.mangoridge.http.HttpTransport;

/** Sends one request as a caller and prints the answer as it comes. */
public final class CallCommand implements Command {

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration TIMEOUT = Duration.ofSeconds(60);
    private static final int FIRST_ERROR_STATUS = 400;

    @Override
    public String name() {
        return "call";
    }

    @Override
    public String arguments() {
        return "PATH";
    }

    @Override
    public String summary() {
        return "Send one request as a caller and print the answer.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(null, "to", true, "the caller address of an instance, HOST:PORT")
                .addOption(null, "key", true, "the caller's key, CALLER.SECRET")
                .addOption(null, "body", true, "the JSON body; without it the method is GET")
                .addOption(null, "idempotency-key", true, "the Idempotency-Key header");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        String path = invocation.onlyArgument("PATH");
        byte[] body = invocation.option("body").orElse("").getBytes(StandardCharsets.UTF_8);
        Headers headers = Headers.of("Content-Type", "application/json");
        Optional<String> key = invocation.option("key");
        if (key.isPresent()) {
            headers = headers.with("Authorization", "Bearer " + key.get());
        }
        Optional<String> idempotencyKey = invocation.option("idempotency-key");
        if (idempotencyKey.isPresent()) {
            headers = headers.with("Idempotency-Key", idempotencyKey.get());
        }
        HttpCall call = new HttpCall(
                body.length == 0 ? "GET" : "POST",
                invocation.requiredAddress("to").httpUri(path),
                headers,
                body,
                TIMEOUT);
        try (HttpTransport transport = HttpTransport.create(CONNECT_TIMEOUT)) {
            return print(invocation, transport.openStream(call));
        }
    }

    private static ExitCode print(Invocation invocation, Result<HttpLineStream, HttpFailure> opened) {
        if (!opened.isOk()) {
            invocation.err().println(opened.error().detail());
            return ExitCode.FAILED;
        }
        try (HttpLineStream lines = opened.value()) {
            while (true) {
                Result<Optional<String>, HttpFailure> line = lines.nextLine(TIMEOUT);
                if (!line.isOk()) {
                    invocation.err().println("cut: " + line.error().detail());
                    return ExitCode.FAILED;
                }
                if (line.value().isEmpty()) {
                    return lines.status() < FIRST_ERROR_STATUS ? ExitCode.DONE : ExitCode.FAILED;
                }
                if (!line.value().get().isEmpty()) {
                    invocation.out().println(line.value().get());
                }
            }
        }
    }
}
