package org.mangoridge.config.distribution;

import java.util.Optional;
import java.util.TreeMap;

import org.mangoridge.config.Manifest;
import org.mangoridge.config.PublishedConfig;
import org.mangoridge.core.id.Generation;

/** Keeps the manifests of the latest generations, so that peers are sent only the pieces they lack. Thread-safe. */
public final class ConfigHistory {

    private static final int MAX_GENERATIONS = 32;

    private final TreeMap<Long, Manifest> manifests = new TreeMap<>();
    private PublishedConfig current = PublishedConfig.initial();

    private ConfigHistory() {}

    /** Returns an empty history. */
    public static ConfigHistory create() {
        return new ConfigHistory();
    }

    /** Records an adopted configuration as the current one. */
    public synchronized void add(PublishedConfig config) {
        current = config;
        manifests.put(config.manifest().generation(), config.manifest());
        if (manifests.size() > MAX_GENERATIONS) {
            manifests.pollFirstEntry();
        }
    }

    /** Returns the configuration that was adopted last. */
    public synchronized PublishedConfig current() {
        return current;
    }

    /** Returns an offer for an instance at generation {@code known}; empty if the current one is not newer. */
    public synchronized Optional<ConfigOffer> offerSince(Generation known) {
        if (!current.generation().isAfter(known)) {
            return Optional.empty();
        }
        return Optional.of(ConfigOffer.of(current, manifests.getOrDefault(known.value(), Manifest.initial())));
    }
}
