package org.mangoridge.cli.command;

import java.io.PrintStream;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

import org.apache.commons.cli.Options;
import org.mangoridge.config.audit.AuditEntry;
import org.mangoridge.core.Result;
import org.mangoridge.entry.config.ConfigMessages;
import org.mangoridge.http.Json;

/** Lists, filters and verifies an audit trail. */
public final class AuditCommand implements Command {

    @Override
    public String name() {
        return "audit";
    }

    @Override
    public String arguments() {
        return "";
    }

    @Override
    public String summary() {
        return "List, filter and verify an audit trail.";
    }

    @Override
    public Options options() {
        return OperatorClient.addOptions(new Options())
                .addOption(null, "trail", true, "config (default), refusals, or zone-ZONE")
                .addOption(null, "who", true, "only entries of this operator or instance")
                .addOption(null, "kind", true, "only entries of this kind, such as apply-accepted")
                .addOption(null, "subject", true, "only entries of this apply, server or claim")
                .addOption(null, "limit", true, "at most this many entries, the newest first (default 50)")
                .addOption(null, "changes", false, "print the changed keys too")
                .addOption(null, "verify", false, "print only whether the whole chain verifies")
                .addOption(null, "json", false, "print JSON");
    }

    @Override
    public ExitCode run(Invocation invocation) {
        try (OperatorClient client = OperatorClient.of(invocation)) {
            Result<ConfigMessages.AuditList, OperatorClient.CallFailure> answer =
                    client.get("/audit" + query(invocation), ConfigMessages.AuditList.class);
            if (!answer.isOk()) {
                invocation.err().println(answer.error().detail());
                return ExitCode.FAILED;
            }
            print(invocation, answer.value());
            return answer.value().problems().isEmpty() ? ExitCode.DONE : ExitCode.FAILED;
        }
    }

    private static void print(Invocation invocation, ConfigMessages.AuditList list) {
        PrintStream out = invocation.out();
        if (invocation.has("json")) {
            out.println(Json.text(list));
            return;
        }
        if (!invocation.has("verify")) {
            list.entries().forEach(entry -> print(entry, out));
        }
        list.problems().forEach(problem -> out.println("does not verify: " + problem));
        if (list.problems().isEmpty()) {
            out.printf("trail %s: %d entries, the chain verifies%n", list.trail(), list.total());
        }
    }

    private static void print(ConfigMessages.Audited audited, PrintStream out) {
        AuditEntry entry = audited.entry().entry();
        out.printf(
                "%d %s %s by %s from %s: %s: %s%n",
                audited.entry().number(),
                entry.at(),
                entry.kind(),
                entry.who(),
                entry.from(),
                entry.subject(),
                entry.outcome());
        out.printf("  hash %s after %s%n", audited.hash(), audited.entry().previousHash());
        audited.changes().forEach(change -> out.println("  " + change));
    }

    private static String query(Invocation invocation) {
        StringBuilder query = new StringBuilder("?");
        for (String name : new String[] {"trail", "who", "kind", "subject", "limit"}) {
            invocation.option(name).ifPresent(value -> query.append(name)
                    .append('=')
                    .append(URLEncoder.encode(value, StandardCharsets.UTF_8))
                    .append('&'));
        }
        return invocation.has("changes") ? query + "changes=1" : query.toString();
    }
}
