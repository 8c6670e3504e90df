package org.mangoridge.gateway.net;

import java.util.regex.Pattern;

/**
 * The syntax of the head of a response, where the decoder of the library accepts more than RFC 9112 does.
 *
 * <p>The library takes any integer as a status, and a field name to end at a blank, so that another reader of the same
 * bytes finds another status, field or length.
 */
final class HeadSyntax {

    /** A higher minor version is read as 1.1. */
    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[0-9]");

    private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[0-9] [1-5][0-9]{2}");
    /** Characters of a field name besides letters and digits. */
    private static final String NAME_PUNCTUATION = "!#$%&'*+-.^_`|~";

    private HeadSyntax() {}

    /**
     * Checks the parts of a status line.
     *
     * @throws IllegalArgumentException if it is not one of HTTP/1 with a status from 100 to 599
     */
    static void checkStatusLine(String version, String status, String reason) {
        if (!VERSION.matcher(version).matches()) {
            throw new IllegalArgumentException("version is not HTTP/1");
        }
        if (!STATUS.matcher(status).matches()) {
            throw new IllegalArgumentException("status is not a number from 100 to 599");
        }
        if (reason.chars().anyMatch(HeadSyntax::isControl)) {
            throw new IllegalArgumentException("control character in reason phrase");
        }
        checkHoldsNoStatusLine(reason);
    }

    /**
     * Checks that a part of a head does not go on with another head, as after one that was broken off on the connection.
     *
     * @param text a reason phrase or the value of a field
     * @throws IllegalArgumentException if it holds a status line
     */
    static void checkHoldsNoStatusLine(String text) {
        if (STATUS_LINE.matcher(text).find()) {
            throw new IllegalArgumentException("status line within a head");
        }
    }

    /**
     * Checks the name of a field.
     *
     * @param line the line of the field, which contains a colon
     * @param start where the name starts, after blanks that the decoder skips
     * @param length the length of the name as the decoder reads it, up to the first blank or colon
     * @throws IllegalArgumentException if the line does not begin with a name that a colon follows
     */
    static void checkFieldName(byte[] line, int start, int length) {
        if (start > 0) {
            throw new IllegalArgumentException("blank before field name");
        }
        if (length == 0 || line[length] != ':') {
            throw new IllegalArgumentException("field name is empty or holds a blank");
        }
        for (int i = 0; i < length; i++) {
            if (!isNameCharacter(line[i])) {
                throw new IllegalArgumentException("invalid character in field name");
            }
        }
    }

    private static boolean isNameCharacter(byte character) {
        return character >= '0' && character <= '9'
                || character >= 'A' && character <= 'Z'
                || character >= 'a' && character <= 'z'
                || NAME_PUNCTUATION.indexOf(character) >= 0;
    }

    private static boolean isControl(int character) {
        return character < ' ' && character != '\t' || character == 0x7f;
    }
}
