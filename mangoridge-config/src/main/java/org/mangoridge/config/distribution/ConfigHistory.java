package org.mangoridge.config.distribution;

import java.util.Optional;
import java.util.TreeMap;

import org.mangoridge.config.Manifest;
import org.mangoridge.config.PublishedConfig;
import org.mangoridge.core.id.Generation;

/** Remembers what the latest generations consisted of, so that peers are sent only what they lack; thread-safe. */
public final class ConfigHistory {

    private static final int KEPT = 32;

    private final TreeMap<Long, Manifest> manifests = new TreeMap<>();
    private PublishedConfig current = PublishedConfig.initial();

    private ConfigHistory() {}

    /** Returns an empty history. */
    public static ConfigHistory create() {
        return new ConfigHistory();
    }

    /** Adds a configuration that was adopted. */
    public synchronized void add(PublishedConfig config) {
        current = config;
        manifests.put(config.manifest().generation(), config.manifest());
        if (manifests.size() > KEPT) {
            manifests.pollFirstEntry();
        }
    }

    /** Returns the configuration adopted last. */
    public synchronized PublishedConfig current() {
        return current;
    }

    /** Returns what an instance that has {@code known} lacks; empty if nothing. */
    public synchronized Optional<ConfigOffer> offerSince(Generation known) {
        if (!current.generation().isAfter(known)) {
            return Optional.empty();
        }
        return Optional.of(ConfigOffer.of(current, manifests.getOrDefault(known.value(), Manifest.initial())));
    }
}
