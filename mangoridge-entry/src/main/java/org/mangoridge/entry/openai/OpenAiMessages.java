package org.mangoridge.entry.openai;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The JSON messages of the OpenAI-compatible API, as far as the system reads or writes them. */
public final class OpenAiMessages {

    private OpenAiMessages() {}

    /**
     * A request for a completion of a prompt or of a chat.
     *
     * @param model the service asked for
     * @param prompt the prompt, or null in a chat
     * @param messages the chat, or null for a prompt
     * @param maxTokens the most tokens to generate, or null for the default
     * @param maxCompletionTokens the newer name of {@code maxTokens}, or null
     * @param stream whether tokens are streamed; null means not
     */
    public record CompletionRequest(
            String model,
            String prompt,
            List<ChatMessage> messages,
            @JsonProperty("max_tokens") Integer maxTokens,
            @JsonProperty("max_completion_tokens") Integer maxCompletionTokens,
            Boolean stream) {}

    /**
     * One message of a chat.
     *
     * @param role who wrote it
     * @param content the text
     */
    public record ChatMessage(String role, String content) {}

    /**
     * A whole answer, or one piece of a streamed one.
     *
     * @param id the request's id
     * @param object the kind of message
     * @param created when it was made, in seconds since 1970
     * @param model the service
     * @param choices the one choice
     * @param usage token counts of a whole answer, or null
     */
    public record Completion(String id, String object, long created, String model, List<Choice> choices, Usage usage) {}

    /**
     * The one choice of an answer.
     *
     * @param index always 0
     * @param text the text of a prompt's completion, or null
     * @param message the whole message of a chat, or null
     * @param delta the piece of a streamed chat, or null
     * @param finishReason why generation ended, or null before the end
     */
    public record Choice(
            int index,
            String text,
            ChatMessage message,
            ChatMessage delta,
            @JsonProperty("finish_reason") String finishReason) {}

    /**
     * Token counts.
     *
     * @param promptTokens the prompt's tokens
     * @param completionTokens the tokens generated
     * @param totalTokens both
     */
    public record Usage(
            @JsonProperty("prompt_tokens") int promptTokens,
            @JsonProperty("completion_tokens") int completionTokens,
            @JsonProperty("total_tokens") int totalTokens) {}
}
