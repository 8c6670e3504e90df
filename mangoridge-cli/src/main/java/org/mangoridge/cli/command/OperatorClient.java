package org.mangoridge.cli.command;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;

import org.apache.commons.cli.Options;
import org.mangoridge.core.Result;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.core.verdict.Verdict;
import org.mangoridge.http.HttpAnswer;
import org.mangoridge.http.HttpCall;
import org.mangoridge.http.HttpFailure;
import org.mangoridge.http.HttpTransport;
import org.mangoridge.http.Json;

/** Sends an operator's calls to one instance. */
final class OperatorClient implements AutoCloseable {

    /**
     * A call that got no answer of use.
     *
     * @param isNotRun whether the call certainly had no effect
     * @param detail what went wrong
     */
    record CallFailure(boolean isNotRun, String detail) {}

    /** Names the environment variable that may hold the token. */
    private static final String TOKEN_VARIABLE = "MANGORIDGE_TOKEN";

    private static final int FIRST_SERVER_ERROR = 500;
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration TIMEOUT = Duration.ofSeconds(60);

    private final HttpTransport transport = HttpTransport.create(CONNECT_TIMEOUT);
    private final HostPort address;
    private final String token;

    private OperatorClient(HostPort address, String token) {
        this.address = address;
        this.token = token;
    }

    /** Adds the options that say which instance and as whom. */
    static Options addOptions(Options options) {
        return options.addOption(null, "to", true, "the operator address of an instance, HOST:PORT")
                .addOption(
                        null,
                        "token-file",
                        true,
                        "a file with the operator's token, OPERATOR.SECRET (default: the variable " + TOKEN_VARIABLE
                                + ")");
    }

    /** Returns a client for what the options say. */
    static OperatorClient of(Invocation invocation) {
        return new OperatorClient(invocation.requiredAddress("to"), token(invocation));
    }

    /** Posts a message and reads the answer; the error says what went wrong. */
    <T> Result<T, CallFailure> post(String path, Object message, Class<T> type) {
        return send(HttpCall.postJson(address.httpUri(path), message, TIMEOUT), type);
    }

    /** Gets a message. */
    <T> Result<T, CallFailure> get(String pathAndQuery, Class<T> type) {
        URI uri = address.httpUri(pathAndQuery);
        return send(HttpCall.get(uri, TIMEOUT), type);
    }

    @Override
    public void close() {
        transport.close();
    }

    private <T> Result<T, CallFailure> send(HttpCall call, Class<T> type) {
        HttpCall signed = token.isEmpty() ? call : call.withHeader("Authorization", "Bearer " + token);
        return switch (transport.send(signed)) {
            case Result.Err<HttpAnswer, HttpFailure> err ->
                Result.err(new CallFailure(
                        err.error().progress().verdict() == Verdict.NOT_RUN,
                        err.error().detail()));
            case Result.Ok<HttpAnswer, HttpFailure> ok
            when !ok.value().isSuccess() ->
                Result.err(new CallFailure(
                        ok.value().status() < FIRST_SERVER_ERROR,
                        ok.value().status() + " " + ok.value().text()));
            case Result.Ok<HttpAnswer, HttpFailure> ok -> decode(ok.value(), type);
        };
    }

    private static <T> Result<T, CallFailure> decode(HttpAnswer answer, Class<T> type) {
        Result<T, String> read = Json.read(answer.body(), type);
        return read.isOk() ? Result.ok(read.value()) : Result.err(new CallFailure(false, read.error()));
    }

    private static String token(Invocation invocation) {
        String file = invocation.option("token-file").orElse("");
        if (file.isEmpty()) {
            String variable = System.getenv(TOKEN_VARIABLE);
            return variable == null ? "" : variable.trim();
        }
        try {
            return Files.readString(Path.of(file)).trim();
        } catch (IOException e) {
            throw new UsageException("--token-file: can't be read: " + e.getMessage());
        }
    }
}
