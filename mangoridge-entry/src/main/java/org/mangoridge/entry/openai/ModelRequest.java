package org.mangoridge.entry.openai;

import java.util.stream.Collectors;

import org.mangoridge.core.Result;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.verdict.Refusal;
import org.mangoridge.core.verdict.RefusalReason;
import org.mangoridge.http.Json;

/**
 * A model request that has been read and checked.
 *
 * @param service the service asked for
 * @param prompt the prompt as one text
 * @param maxTokens the most tokens to generate
 * @param stream whether tokens are streamed
 * @param chat whether it was asked as a chat
 */
public record ModelRequest(ServiceId service, String prompt, int maxTokens, boolean stream, boolean chat) {

    /** The path of completions of a prompt. */
    public static final String COMPLETIONS_PATH = "/v1/completions";

    /** The path of completions of a chat. */
    public static final String CHAT_COMPLETIONS_PATH = "/v1/chat/completions";

    private static final int CHARACTERS_PER_TOKEN = 4;
    private static final int DEFAULT_MAX_TOKENS = 256;
    private static final int LARGEST_MAX_TOKENS = 32_768;

    /** Reads a request sent to {@code path}. */
    public static Result<ModelRequest, Refusal> parse(String path, byte[] body) {
        return switch (Json.read(body, OpenAiMessages.CompletionRequest.class)) {
            case Result.Err<OpenAiMessages.CompletionRequest, String> err ->
                malformed("the body is not the JSON expected: " + err.error());
            case Result.Ok<OpenAiMessages.CompletionRequest, String> ok ->
                check(path.equals(CHAT_COMPLETIONS_PATH), ok.value());
        };
    }

    /** Returns the prompt's length in tokens, estimated from its characters. */
    public int promptTokens() {
        return Math.max(1, (prompt.length() + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN);
    }

    private static Result<ModelRequest, Refusal> check(boolean chat, OpenAiMessages.CompletionRequest request) {
        if (request.model() == null || request.model().isBlank()) {
            return malformed("\"model\" must name a service");
        }
        String prompt = chat ? chatPrompt(request) : request.prompt();
        if (prompt == null || prompt.isEmpty()) {
            return malformed(chat ? "\"messages\" must hold at least one message" : "\"prompt\" must be a text");
        }
        Integer asked = request.maxTokens() == null ? request.maxCompletionTokens() : request.maxTokens();
        int maxTokens = asked == null ? DEFAULT_MAX_TOKENS : asked;
        if (maxTokens < 1 || maxTokens > LARGEST_MAX_TOKENS) {
            return malformed("\"max_tokens\" must be from 1 to " + LARGEST_MAX_TOKENS);
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
