package org.mangoridge.entry.openai;

import java.util.stream.Collectors;

import org.mangoridge.core.Result;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.verdict.Refusal;
import org.mangoridge.core.verdict.RefusalReason;
import org.mangoridge.http.Json;

/**
 * A parsed and validated model request.
 *
 * @param service the requested service
 * @param prompt the prompt; the messages of a chat are joined to one text
 * @param maxTokens the maximum number of tokens to generate
 * @param stream whether the answer is streamed
 * @param chat whether the request was sent to the chat completions endpoint
 */
public record ModelRequest(ServiceId service, String prompt, int maxTokens, boolean stream, boolean chat) {

    /** The path of the completions endpoint. */
    public static final String COMPLETIONS_PATH = "/v1/completions";

    /** The path of the chat completions endpoint. */
    public static final String CHAT_COMPLETIONS_PATH = "/v1/chat/completions";

    private static final int ESTIMATED_CHARACTERS_PER_TOKEN = 4;
    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final int MAX_TOKENS_LIMIT = 32_768;

    /** Parses and validates the body of a request sent to {@code path}. */
    public static Result<ModelRequest, Refusal> parse(String path, byte[] body) {
        return switch (Json.read(body, OpenAiMessages.CompletionRequest.class)) {
            case Result.Err<OpenAiMessages.CompletionRequest, String> err ->
                malformed("the body is not a valid JSON completion request: " + err.error());
            case Result.Ok<OpenAiMessages.CompletionRequest, String> ok ->
                validate(path.equals(CHAT_COMPLETIONS_PATH), ok.value());
        };
    }

    /** Returns the length of the prompt in tokens, estimated from its length in characters. */
    public int promptTokens() {
        return Math.max(1, (prompt.length() + ESTIMATED_CHARACTERS_PER_TOKEN - 1) / ESTIMATED_CHARACTERS_PER_TOKEN);
    }

    private static Result<ModelRequest, Refusal> validate(boolean chat, OpenAiMessages.CompletionRequest request) {
        if (request.model() == null || request.model().isBlank()) {
            return malformed("\"model\" must name a service");
        }
        String prompt = chat ? chatPrompt(request) : request.prompt();
        if (prompt == null || prompt.isEmpty()) {
            return malformed(
                    chat ? "\"messages\" must contain at least one message" : "\"prompt\" must be a non-empty string");
        }
        Integer requested = request.maxTokens() == null ? request.maxCompletionTokens() : request.maxTokens();
        int maxTokens = requested == null ? DEFAULT_MAX_TOKENS : requested;
        if (maxTokens < 1 || maxTokens > MAX_TOKENS_LIMIT) {
            return malformed("\"max_tokens\" must be between 1 and " + MAX_TOKENS_LIMIT);
        }
        boolean stream = Boolean.TRUE.equals(request.stream());
        return Result.ok(new ModelRequest(ServiceId.of(request.model()), prompt, maxTokens, stream, chat));
    }

    private static String chatPrompt(OpenAiMessages.CompletionRequest request) {
        if (request.messages() == null) {
            return null;
        }
        return request.messages().stream()
                .map(message -> message.role() + ": " + message.content() + "\n")
                .collect(Collectors.joining());
    }

    private static Result<ModelRequest, Refusal> malformed(String detail) {
        return Result.err(Refusal.notRun(RefusalReason.MALFORMED, detail));
    }
}
