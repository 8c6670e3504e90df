package org.mangoridge.entry.openai;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The JSON messages of the OpenAI-compatible API, limited to the supported fields. */
public final class OpenAiMessages {

    private OpenAiMessages() {}

    /**
     * A completion request or a chat completion request.
     *
     * @param model the requested service
     * @param prompt the prompt, or null for a chat
     * @param messages the messages of a chat, or null for a prompt
     * @param maxTokens the maximum number of tokens to generate, or null for the default
     * @param maxCompletionTokens the newer name of {@code maxTokens}, ignored unless that is null; may be null
     * @param stream whether the answer is streamed; null means false
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
     * @param role the role of the author, such as user or assistant
     * @param content the text of the message
     */
    public record ChatMessage(String role, String content) {}

    /**
     * A completion, or one chunk of a streamed completion.
     *
     * @param id the id of the request
     * @param object the object type, such as {@code chat.completion}
     * @param created the creation time of the answer, in seconds since the epoch
     * @param model the requested service
     * @param choices the single choice
     * @param usage the token counts, or null in a chunk
     */
    public record Completion(String id, String object, long created, String model, List<Choice> choices, Usage usage) {}

    /**
     * The single choice of a completion.
     *
     * @param index always 0
     * @param text the text of a text completion, or null for a chat
     * @param message the message of a chat completion, or null
     * @param delta the message part of a chat completion chunk, or null
     * @param finishReason why the generation ended, or null before the final chunk
     */
    public record Choice(
            int index,
            String text,
            ChatMessage message,
            ChatMessage delta,
            @JsonProperty("finish_reason") String finishReason) {}

    /**
     * The token counts of a completion.
     *
     * @param promptTokens the number of tokens in the prompt
     * @param completionTokens the number of generated tokens
     * @param totalTokens the sum of both
     */
    public record Usage(
            @JsonProperty("prompt_tokens") int promptTokens,
            @JsonProperty("completion_tokens") int completionTokens,
            @JsonProperty("total_tokens") int totalTokens) {}
}
