package org.mangoridge.config.distribution;

import java.util.HashMap;
import java.util.Map;

import org.mangoridge.config.Manifest;
import org.mangoridge.config.PublishedConfig;
import org.mangoridge.core.Result;
import org.mangoridge.http.Json;

/**
 * A configuration as it is sent to a peer, without the pieces that the peer already has.
 *
 * @param hash the hash of the manifest
 * @param text the manifest and the pieces as JSON
 */
public record ConfigOffer(String hash, String text) {

    /** The JSON form of an offer. */
    private record Content(Manifest manifest, Map<String, String> pieces) {}

    /** Returns an offer of {@code config} for an instance that has the configuration of {@code known}. */
    public static ConfigOffer of(PublishedConfig config, Manifest known) {
        return new ConfigOffer(
                config.hash(), Json.text(new Content(config.manifest(), config.contentsMissingFrom(known))));
    }

    /** Assembles the configuration from this offer and the pieces of {@code known} and verifies its hashes. */
    public Result<PublishedConfig, String> assemble(PublishedConfig known) {
        return Json.read(text, Content.class).flatMap(content -> {
            if (content.manifest() == null || content.pieces() == null) {
                return Result.err("the offer is malformed");
            }
            Map<String, String> contents = new HashMap<>(known.contents());
            contents.putAll(content.pieces());
            return PublishedConfig.verify(content.manifest(), hash, contents);
        });
    }
}
