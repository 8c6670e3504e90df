package org.mangoridge.gateway.net;

/** Estimates the memory of the head of one message, complete or not; small headers take many times their bytes. */
final class HeadSize {

    /** Memory that a header takes besides its characters: an entry, two strings and their arrays. */
    private static final int HEADER_OVERHEAD_BYTES = 160;
    /** Bytes beyond the line and header limits of decoders, which are dropped: control characters before a head. */
    private static final int MAX_CHARACTER_BYTES = 128 << 10;

    private int headers;
    private int characterBytes;

    /** Adds a header without its characters. */
    void addHeader() {
        headers++;
    }

    /** Adds what a decoder has consumed of the head. */
    void addCharacters(int bytes) {
        characterBytes = Math.min(MAX_CHARACTER_BYTES, characterBytes + bytes);
    }

    /** Forgets the head, since the message is dropped or a new one begins. */
    void reset() {
        headers = 0;
        characterBytes = 0;
    }

    /** Returns the memory in bytes. */
    long heldBytes() {
        return characterBytes + (long) headers * HEADER_OVERHEAD_BYTES;
    }
}
