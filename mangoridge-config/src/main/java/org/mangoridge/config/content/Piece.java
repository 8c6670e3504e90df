package org.mangoridge.config.content;

import org.mangoridge.core.Checks;

/**
 * A reference to a stored piece of the configuration text.
 *
 * @param owner the id of the apply that wrote the piece
 * @param hash the SHA-256 of the content in hexadecimal
 */
public record Piece(String owner, String hash) {

    public Piece {
        Checks.notBlank(owner, "owner");
        Checks.notBlank(hash, "hash");
    }
}
