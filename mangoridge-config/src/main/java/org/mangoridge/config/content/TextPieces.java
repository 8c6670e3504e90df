package org.mangoridge.config.content;

import java.util.ArrayList;
import java.util.List;

/**
 * Splits an INI text into pieces at section headings.
 *
 * <p>Whether a piece starts at a heading depends on the hash of that heading alone, so a changed section changes only
 * the piece that contains it.
 */
public final class TextPieces {

    /** The maximum length of a piece. At 4 bytes per character, it stays below the store's limit for one object. */
    static final int MAX_PIECE_CHARACTERS = 200_000;

    private static final int MEAN_SECTIONS_PER_PIECE = 128;
    private static final String HEADING_START = "\n[";

    private TextPieces() {}

    /** Returns the pieces of {@code text} in order; their concatenation is the text. */
    public static List<String> split(String text) {
        List<String> pieces = new ArrayList<>();
        int start = 0;
        int heading = text.indexOf(HEADING_START);
        while (heading >= 0) {
            int headingStart = heading + 1;
            if (isBoundary(text, headingStart)) {
                addWithMaxLength(pieces, text.substring(start, headingStart));
                start = headingStart;
            }
            heading = text.indexOf(HEADING_START, headingStart);
        }
        addWithMaxLength(pieces, text.substring(start));
        return pieces;
    }

    private static boolean isBoundary(String text, int headingStart) {
        int end = text.indexOf(']', headingStart);
        String heading = end < 0 ? text.substring(headingStart) : text.substring(headingStart, end);
        return Math.floorMod(Integer.parseUnsignedInt(Sha256.of(heading).substring(0, 4), 16), MEAN_SECTIONS_PER_PIECE)
                == 0;
    }

    private static void addWithMaxLength(List<String> pieces, String piece) {
        int start = 0;
        while (piece.length() - start > MAX_PIECE_CHARACTERS) {
            int end = start + MAX_PIECE_CHARACTERS;
            end -= Character.isHighSurrogate(piece.charAt(end - 1)) ? 1 : 0;
            pieces.add(piece.substring(start, end));
            start = end;
        }
        if (start < piece.length()) {
            pieces.add(piece.substring(start));
        }
    }
}
