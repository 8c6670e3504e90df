package org.mangoridge.gateway.exchange;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.netty.handler.codec.http.QueryStringDecoder;
import org.mangoridge.core.Checks;
import org.mangoridge.core.Result;
import org.mangoridge.core.id.WorkspaceId;
import org.mangoridge.dispatch.request.TokenDemand;

/**
 * A request that is asked about and not sent.
 *
 * @param host the host that it names, without a port
 * @param path its path
 * @param workspace the workspace whose key it shows; empty if it shows none
 * @param tokens its token counts; {@link TokenDemand#NONE} if it is not a model request
 */
public record RequestQuestion(String host, String path, Optional<WorkspaceId> workspace, TokenDemand tokens) {

    private static final Set<String> NAMES = Set.of("host", "path", "workspace", "prompt", "max_output");
    private static final int MAX_TOKENS = 10_000_000;

    public RequestQuestion {
        Checks.notBlank(host, "host");
        Checks.argument(path.startsWith("/"), "path must begin with a slash");
        Checks.notNull(workspace, "workspace");
        Checks.notNull(tokens, "tokens");
    }

    /**
     * Reads a question from the target of a request; the error is one sentence.
     *
     * @param target path and query, such as {@code /explain?host=H&path=P}
     */
    public static Result<RequestQuestion, String> parse(String target) {
        try {
            Map<String, List<String>> values = new QueryStringDecoder(target).parameters();
            values.forEach(RequestQuestion::check);
            int maxOutput = tokens(values, "max_output");
            return Result.ok(new RequestQuestion(
                    value(values, "host").orElseThrow(() -> new IllegalArgumentException("host is missing")),
                    value(values, "path").orElseThrow(() -> new IllegalArgumentException("path is missing")),
                    value(values, "workspace").map(WorkspaceId::of),
                    new TokenDemand(tokens(values, "prompt"), maxOutput, maxOutput)));
        } catch (IllegalArgumentException e) {
            return Result.err("The question can't be read: " + e.getMessage() + ".");
        }
    }

    private static void check(String name, List<String> values) {
        Checks.argument(
                NAMES.contains(name), "a parameter is unknown; known are host, path, workspace, prompt, max_output");
        Checks.argument(values.size() == 1, "%s is given more than once", name);
        // A line break would let a value pass for another line of the answer.
        Checks.argument(values.get(0).chars().noneMatch(Character::isISOControl), "%s has a control character", name);
    }

    private static Optional<String> value(Map<String, List<String>> values, String name) {
        return Optional.ofNullable(values.get(name)).map(List::getFirst);
    }

    private static int tokens(Map<String, List<String>> values, String name) {
        String text = value(values, name).orElse("0");
        boolean valid = text.matches("[0-9]{1,8}") && Integer.parseInt(text) <= MAX_TOKENS;
        Checks.argument(valid, "%s must be a whole number up to %d", name, MAX_TOKENS);
        return Integer.parseInt(text);
    }
}
