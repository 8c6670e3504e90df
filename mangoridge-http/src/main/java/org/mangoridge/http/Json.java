package org.mangoridge.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.mangoridge.core.Result;

/** Reads and writes typed messages as JSON; reading ignores unknown properties. */
public final class Json {

    private static final ObjectMapper MAPPER = new ObjectMapper()
            .setSerializationInclusion(JsonInclude.Include.NON_NULL)
            .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

    private Json() {}

    /** Returns {@code message} as UTF-8 encoded JSON. */
    public static byte[] bytes(Object message) {
        return text(message).getBytes(StandardCharsets.UTF_8);
    }

    /** Returns {@code message} as JSON text. */
    public static String text(Object message) {
        try {
            return MAPPER.writeValueAsString(message);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot serialize message as JSON: " + message.getClass(), e);
        }
    }

    /** Parses a message of {@code type}; the error describes what is wrong with the input. */
    public static <T> Result<T, String> read(byte[] json, Class<T> type) {
        try {
            T message = MAPPER.readValue(json, type);
            return message == null ? Result.err("the body is null") : Result.ok(message);
        } catch (JsonProcessingException e) {
            return Result.err(e.getOriginalMessage());
        } catch (IOException e) {
            return Result.err(String.valueOf(e.getMessage()));
        }
    }

    /** Parses a message of {@code type} from text; the error describes what is wrong with the input. */
    public static <T> Result<T, String> read(String json, Class<T> type) {
        return read(json.getBytes(StandardCharsets.UTF_8), type);
    }
}
