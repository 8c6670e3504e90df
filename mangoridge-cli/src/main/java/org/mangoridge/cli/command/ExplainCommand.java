package org.mangoridge.cli.command;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apache.commons.cli.Options;

/**
 * Prints what the logs of instances say of one request, in order of time, or where an instance would send a request now, if
 * {@code --instance} is given.
 */
public final class ExplainCommand implements Command {

    private static final Set<String> LEADING = Set.of("time", "up_ms", "instance", "code", "event", "request");

    private final ObjectMapper json = new ObjectMapper();

    private record Line(String time, JsonNode node) {}

    @Override
    public String name() {
        return "explain";
    }

    @Override
    public String arguments() {
        return "[REQUEST-ID [LOG...]]";
    }

    @Override
    public String summary() {
        return "Tell a request's story from the logs of instances (files, or standard input), or where it would go now.";
    }

    @Override
    public Options options() {
        return InstanceQuestion.addOptions(new Options());
    }

    @Override
    public ExitCode run(Invocation invocation) {
        return InstanceQuestion.isAsked(invocation)
                ? InstanceQuestion.of(invocation).ask(invocation)
                : tell(invocation);
    }

    private ExitCode tell(Invocation invocation) {
        List<String> arguments = invocation.arguments();
        if (arguments.isEmpty()) {
            throw new UsageException("expected a request id");
        }
        String request = arguments.get(0);
        List<Line> lines = new ArrayList<>();
        try {
            if (arguments.size() == 1) {
                read(
                        new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8)),
                        request,
                        lines,
                        invocation.err());
            }
            for (String file : arguments.subList(1, arguments.size())) {
                try (BufferedReader reader = Files.newBufferedReader(Path.of(file))) {
                    read(reader, request, lines, invocation.err());
                }
            }
        } catch (IOException e) {
            invocation.err().println("mangoridge: log can't be read: " + e.getMessage());
            return ExitCode.FAILED;
        }
        lines.sort(Comparator.comparing(Line::time));
        lines.forEach(line -> print(line, invocation.out()));
        if (lines.isEmpty()) {
            invocation.err().println("mangoridge: no line names request " + request);
            return ExitCode.FAILED;
        }
        return ExitCode.DONE;
    }

    private void read(BufferedReader reader, String request, List<Line> lines, PrintStream err) throws IOException {
        for (String text = reader.readLine(); text != null; text = reader.readLine()) {
            int start = text.indexOf("{\"time\"");
            if (start < 0 || !text.contains(request)) {
                continue;
            }
            try {
                JsonNode node = json.readTree(text.substring(start));
                if (node.path("request").asText().equals(request)) {
                    lines.add(new Line(node.path("time").asText(), node));
                }
            } catch (JsonProcessingException e) {
                err.println("mangoridge: a line that is no JSON is passed over: " + e.getOriginalMessage());
            }
        }
    }

    private static void print(Line line, PrintStream out) {
        JsonNode node = line.node();
        StringBuilder text = new StringBuilder(line.time())
                .append("  ")
                .append(node.path("instance").asText())
                .append("  ")
                .append(node.path("code").asText())
                .append(' ')
                .append(node.path("event").asText());
        for (Iterator<Map.Entry<String, JsonNode>> fields = node.fields(); fields.hasNext(); ) {
            Map.Entry<String, JsonNode> field = fields.next();
            if (!LEADING.contains(field.getKey())) {
                text.append(' ')
                        .append(field.getKey())
                        .append('=')
                        .append(field.getValue().asText());
            }
        }
        out.println(text);
    }
}
