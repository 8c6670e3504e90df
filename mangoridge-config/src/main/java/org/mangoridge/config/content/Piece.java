package org.mangoridge.config.content;

import org.mangoridge.core.Checks;

/**
 * One piece of a text, named by the write that brought it in.
 *
 * @param owner the apply that wrote it first
 * @param hash the SHA-256 of its content in hexadecimal
 */
public record Piece(String owner, String hash) {

    public Piece {
        Checks.notBlank(owner, "owner");
        Checks.notBlank(hash, "hash");
    }
}
