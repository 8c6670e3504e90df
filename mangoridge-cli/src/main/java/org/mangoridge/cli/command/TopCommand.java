package org.mangoridge.cli.command;

import java.io.PrintStream;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import org.apache.commons.cli.Options;
import org.mangoridge.core.Result;
import org.mangoridge.entry.accounts.TopReport;
import org.mangoridge.http.HttpAnswer;
import org.mangoridge.http.HttpCall;
import org.mangoridge.http.HttpFailure;
import org.mangoridge.http.HttpTransport;
import org.mangoridge.http.Json;

/** Shows whose requests filled a backend server and whose were refused. */
public final class TopCommand implements Command {

    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final double BYTES_PER_MEGABYTE = 1e6;

    @Override
    public String name() {
        return "top";
    }

    @Override
    public String arguments() {
        return "SERVER";
    }

    @Override
    public String summary() {
        return "Show whose requests filled a backend server.";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(null, "operator", true, "the operator address of an instance, HOST:PORT")
                .addOption(null, "json", false, "print the report as JSON");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        String server = URLEncoder.encode(invocation.onlyArgument("SERVER"), StandardCharsets.UTF_8);
        HttpCall call = HttpCall.get(invocation.requiredAddress("operator").httpUri("/top?server=" + server), TIMEOUT);
        try (HttpTransport transport = HttpTransport.create(TIMEOUT)) {
            return switch (transport.send(call)) {
                case Result.Err<HttpAnswer, HttpFailure> err ->
                    failed(invocation, err.error().detail());
                case Result.Ok<HttpAnswer, HttpFailure> ok
                when !ok.value().isSuccess() -> failed(invocation, ok.value().text());
                case Result.Ok<HttpAnswer, HttpFailure> ok -> print(invocation, ok.value());
            };
        }
    }

    private static ExitCode failed(Invocation invocation, String detail) {
        invocation.err().println("mangoridge top: " + detail);
        return ExitCode.FAILED;
    }

    private static ExitCode print(Invocation invocation, HttpAnswer answer) {
        if (invocation.has("json")) {
            invocation.out().println(answer.text());
            return ExitCode.DONE;
        }
        Result<TopReport, String> report = Json.read(answer.body(), TopReport.class);
        if (!report.isOk()) {
            return failed(invocation, "unreadable answer: " + report.error());
        }
        print(invocation.out(), report.value());
        return ExitCode.DONE;
    }

    private static void print(PrintStream out, TopReport report) {
        out.printf(
                "%s of %s, the last %d s as this instance saw them%n",
                report.server(), report.service(), report.periodSeconds());
        out.printf(
                "%-24s %-16s %5s %9s %9s %10s %9s%n",
                "CALLER", "CLASS", "HELD", "SLOT-S", "PIECE-S", "PREFILL", "LINK-MB");
        for (TopReport.UsageEntry used : report.used()) {
            out.printf(
                    "%-24s %-16s %5d %9.1f %9.1f %10d %9.1f%n",
                    used.caller(),
                    used.callerClass(),
                    used.slotsHeld(),
                    used.slotSeconds(),
                    used.pieceSeconds(),
                    used.prefillTokens(),
                    used.linkBytes() / BYTES_PER_MEGABYTE);
        }
        if (report.missedMillis() > 0) {
            out.printf("Callers without a line used at most %d ms each.%n", report.missedMillis());
        }
        out.printf("Refused requests of %s%n", report.service());
        for (TopReport.RefusalEntry refused : report.refused()) {
            out.printf(
                    "%-24s %-16s %6d  %s%n",
                    refused.caller(), refused.callerClass(), refused.count(), refused.reason());
        }
    }
}
