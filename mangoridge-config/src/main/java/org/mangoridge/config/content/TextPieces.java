package org.mangoridge.config.content;

import java.util.ArrayList;
import java.util.List;

/**
 * Cuts an INI text into pieces at section headings.
 *
 * <p>Where a piece ends depends on the heading alone, so that a changed section changes only the piece that holds it.
 */
public final class TextPieces {

    /** The longest piece in characters; each takes at most 4 bytes, which keeps a piece under the store's limit. */
    static final int MAX_PIECE_CHARACTERS = 200_000;

    private static final int SECTIONS_PER_PIECE = 128;
    private static final String HEADING = "\n[";

    private TextPieces() {}

    /** Returns the pieces of {@code text} in order; joined they are the text. */
    public static List<String> split(String text) {
        List<String> pieces = new ArrayList<>();
        int start = 0;
        int heading = text.indexOf(HEADING);
        while (heading >= 0) {
            int cut = heading + 1;
            if (endsPiece(text, cut)) {
                addBounded(pieces, text.substring(start, cut));
                start = cut;
            }
            heading = text.indexOf(HEADING, cut);
        }
        addBounded(pieces, text.substring(start));
        return pieces;
    }

    private static boolean endsPiece(String text, int cut) {
        int end = text.indexOf(']', cut);
        String heading = end < 0 ? text.substring(cut) : text.substring(cut, end);
        return Math.floorMod(Integer.parseUnsignedInt(Sha256.of(heading).substring(0, 4), 16), SECTIONS_PER_PIECE) == 0;
    }

    private static void addBounded(List<String> pieces, String piece) {
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
