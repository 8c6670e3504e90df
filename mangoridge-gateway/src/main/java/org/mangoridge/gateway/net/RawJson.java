package org.mangoridge.gateway.net;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.MissingNode;

/**
 * A JSON value as received, of which parts can be parsed one by one; immutable.
 *
 * <p>A parser rejects a document as a whole for one malformed value. The structure is found here by brackets and quotes
 * alone, at any depth and with constant stack, so that a value that can't be parsed affects no other.
 */
public final class RawJson {

    /** Bounds what is parsed, well above what any object of the platform needs. */
    private static final StreamReadConstraints LIMITS = StreamReadConstraints.builder()
            .maxNestingDepth(64)
            .maxNumberLength(100)
            .maxNameLength(1024)
            .maxStringLength(1 << 20)
            .maxTokenCount(500_000)
            .build();

    /** Bounds the parts of an array or object; lists of the platform have some hundred. */
    private static final int MAX_PARTS = 1 << 16;

    private static final ObjectMapper PARSER = JsonMapper.builder(
                    JsonFactory.builder().streamReadConstraints(LIMITS).build())
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
            .build();

    private final byte[] bytes;
    private final int start;
    private final int end;

    private RawJson(byte[] bytes, int start, int end) {
        int first = start;
        int last = end;
        while (first < last && isWhitespace(bytes[first])) {
            first++;
        }
        while (last > first && isWhitespace(bytes[last - 1])) {
            last--;
        }
        this.bytes = bytes;
        this.start = first;
        this.end = last;
    }

    /** Returns the value that {@code bytes} encode in UTF-8; the array must not be changed any more. */
    public static RawJson of(byte[] bytes) {
        return new RawJson(bytes, 0, bytes.length);
    }

    /** Returns whether there is no value. */
    public boolean isMissing() {
        return start == end;
    }

    /** Returns whether this is an object with balanced brackets and not too many members, which may be malformed. */
    public boolean isObject() {
        return isEnclosed('{', '}') && !hasTooManyParts();
    }

    /** Returns whether this is an array with balanced brackets and not too many elements, which may be malformed. */
    public boolean isArray() {
        return isEnclosed('[', ']') && !hasTooManyParts();
    }

    /** Returns the elements; empty if this is not an array. */
    public List<RawJson> elements() {
        return isArray() ? parts() : List.of();
    }

    /** Returns the member of a name, the last if there are several; a missing value if there is none. */
    public RawJson member(String name) {
        RawJson found = new RawJson(bytes, end, end);
        if (isObject()) {
            byte[] key = ('"' + name + '"').getBytes(StandardCharsets.UTF_8);
            for (RawJson part : parts()) {
                found = part.valueOf(key, found);
            }
        }
        return found;
    }

    /** Returns the parsed value; a missing node if it is missing, malformed or beyond the limits of the parser. */
    public JsonNode parse() {
        if (isMissing()) {
            return MissingNode.getInstance();
        }
        try {
            return PARSER.readTree(bytes, start, end - start);
        } catch (IOException e) {
            // A missing node is what callers have to expect in any case.
            return MissingNode.getInstance();
        }
    }

    /** Returns the value of this member of an object if {@code key} is its name, else {@code otherwise}. */
    private RawJson valueOf(byte[] key, RawJson otherwise) {
        for (int i = 0; i < key.length; i++) {
            if (start + i >= end || bytes[start + i] != key[i]) {
                return otherwise;
            }
        }
        int colon = start + key.length;
        while (colon < end && isWhitespace(bytes[colon])) {
            colon++;
        }
        return colon < end && bytes[colon] == ':' ? new RawJson(bytes, colon + 1, end) : otherwise;
    }

    private boolean isEnclosed(char open, char close) {
        return end - start >= 2 && bytes[start] == open && bytes[end - 1] == close && closing(start) == end - 1;
    }

    private boolean hasTooManyParts() {
        int commas = 0;
        for (int i = start + 1; i < end - 1 && commas < MAX_PARTS; i++) {
            switch (bytes[i]) {
                case '"', '[', '{' -> i = closing(i);
                case ',' -> commas++;
                default -> {
                    // Part of a number, a literal or a separator.
                }
            }
        }
        return commas >= MAX_PARTS;
    }

    /** Returns what the commas of this array or object separate. */
    private List<RawJson> parts() {
        List<RawJson> parts = new ArrayList<>();
        int from = start + 1;
        for (int i = from; i < end - 1; i++) {
            switch (bytes[i]) {
                case '"', '[', '{' -> i = closing(i);
                case ',' -> {
                    parts.add(new RawJson(bytes, from, i));
                    from = i + 1;
                }
                default -> {
                    // Part of a number, a literal or a separator.
                }
            }
        }
        RawJson last = new RawJson(bytes, from, end - 1);
        if (!parts.isEmpty() || last.start < last.end) {
            parts.add(last);
        }
        return parts;
    }

    /** Returns the position of the end of the string, array or object that starts at {@code opening}, or {@link #end}. */
    private int closing(int opening) {
        boolean quoted = false;
        int depth = 0;
        for (int i = opening; i < end; i++) {
            byte each = bytes[i];
            if (quoted) {
                if (each == '\\') {
                    i++;
                } else if (each == '"') {
                    quoted = false;
                }
            } else if (each == '"') {
                quoted = true;
            } else if (each == '[' || each == '{') {
                depth++;
            } else if (each == ']' || each == '}') {
                depth--;
            }
            if (!quoted && depth <= 0) {
                return i;
            }
        }
        return end;
    }

    private static boolean isWhitespace(byte each) {
        return each == ' ' || each == '\n' || each == '\r' || each == '\t';
    }
}
