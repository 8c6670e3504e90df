package org.mangoridge.entry.openai;

import java.util.List;

import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.http.Json;

/**
 * Formats the answer to a request as a chat completion or a text completion, depending on the endpoint called.
 *
 * @param request the id of the request
 * @param service the requested service
 * @param chat whether the request was sent to the chat completions endpoint
 * @param createdSeconds the creation time of the answer, in seconds since the epoch
 */
public record CompletionFormatter(RequestId request, ServiceId service, boolean chat, long createdSeconds) {

    /** The data of the event that ends a stream. */
    public static final String END_OF_STREAM = "[DONE]";

    private static final String ASSISTANT_ROLE = "assistant";

    /** Returns a stream chunk with {@code text} as JSON. */
    public String chunk(String text) {
        return Json.text(chat ? chatChunk(text, null) : textChunk(text, null));
    }

    /** Returns the final chunk of a stream, which carries the finish reason, as JSON. */
    public String finalChunk(String finishReason) {
        return Json.text(chat ? chatChunk("", finishReason) : textChunk("", finishReason));
    }

    /** Returns the answer to a request that is not streamed. */
    public OpenAiMessages.Completion completion(String text, String finishReason, int promptTokens, int outputTokens) {
        OpenAiMessages.Usage usage = new OpenAiMessages.Usage(promptTokens, outputTokens, promptTokens + outputTokens);
        OpenAiMessages.Choice choice = chat
                ? new OpenAiMessages.Choice(
                        0, null, new OpenAiMessages.ChatMessage(ASSISTANT_ROLE, text), null, finishReason)
                : new OpenAiMessages.Choice(0, text, null, null, finishReason);
        return message(chat ? "chat.completion" : "text_completion", choice, usage);
    }

    private OpenAiMessages.Completion chatChunk(String text, String finishReason) {
        OpenAiMessages.ChatMessage delta = new OpenAiMessages.ChatMessage(ASSISTANT_ROLE, text);
        return message("chat.completion.chunk", new OpenAiMessages.Choice(0, null, null, delta, finishReason), null);
    }

    private OpenAiMessages.Completion textChunk(String text, String finishReason) {
        return message("text_completion", new OpenAiMessages.Choice(0, text, null, null, finishReason), null);
    }

    private OpenAiMessages.Completion message(String object, OpenAiMessages.Choice choice, OpenAiMessages.Usage usage) {
        return new OpenAiMessages.Completion(
                request.value(), object, createdSeconds, service.value(), List.of(choice), usage);
    }
}
