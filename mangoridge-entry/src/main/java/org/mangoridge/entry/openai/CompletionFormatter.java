package org.mangoridge.entry.openai;

import java.util.List;

import org.mangoridge.core.id.RequestId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.http.Json;

/**
 * Writes answers in the form that the request asked for.
 *
 * @param request the request's id
 * @param service the service
 * @param chat whether it was asked as a chat
 * @param createdSeconds when the request arrived, in seconds since 1970
 */
public record CompletionFormatter(RequestId request, ServiceId service, boolean chat, long createdSeconds) {

    /** The event that ends a stream. */
    public static final String DONE = "[DONE]";

    private static final String ASSISTANT = "assistant";

    /** Returns the piece of a stream that carries {@code text}. */
    public String chunk(String text) {
        return Json.text(chat ? chatPiece(text, null) : textPiece(text, null));
    }

    /** Returns the last piece of a stream. */
    public String finalChunk(String finish) {
        return Json.text(chat ? chatPiece("", finish) : textPiece("", finish));
    }

    /** Returns a whole answer. */
    public OpenAiMessages.Completion completion(String text, String finish, int promptTokens, int outputTokens) {
        OpenAiMessages.Usage usage = new OpenAiMessages.Usage(promptTokens, outputTokens, promptTokens + outputTokens);
        OpenAiMessages.Choice choice = chat
                ? new OpenAiMessages.Choice(0, null, new OpenAiMessages.ChatMessage(ASSISTANT, text), null, finish)
                : new OpenAiMessages.Choice(0, text, null, null, finish);
        return message(chat ? "chat.completion" : "text_completion", choice, usage);
    }

    private OpenAiMessages.Completion chatPiece(String text, String finish) {
        OpenAiMessages.ChatMessage delta = new OpenAiMessages.ChatMessage(ASSISTANT, text);
        return message("chat.completion.chunk", new OpenAiMessages.Choice(0, null, null, delta, finish), null);
    }

    private OpenAiMessages.Completion textPiece(String text, String finish) {
        return message("text_completion", new OpenAiMessages.Choice(0, text, null, null, finish), null);
    }

    private OpenAiMessages.Completion message(String object, OpenAiMessages.Choice choice, OpenAiMessages.Usage usage) {
        return new OpenAiMessages.Completion(
                request.value(), object, createdSeconds, service.value(), List.of(choice), usage);
    }
}
