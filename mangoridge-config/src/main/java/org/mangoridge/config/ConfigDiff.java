package org.mangoridge.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

import org.mangoridge.config.audit.KeyChange;
import org.mangoridge.settings.ini.IniEntry;
import org.mangoridge.settings.ini.IniSection;

/** Compares two sets of merged sections key by key. */
public final class ConfigDiff {

    private static final List<String> SECRET_KEY_PARTS = List.of("hash", "secret", "password");

    private ConfigDiff() {}

    /** Returns every key that differs, sorted by section heading and key, with secret values masked. */
    public static List<KeyChange> between(List<IniSection> before, List<IniSection> after) {
        Map<String, Map<String, IniEntry>> old = entriesByHeading(before);
        Map<String, Map<String, IniEntry>> now = entriesByHeading(after);
        TreeSet<String> headings = new TreeSet<>(old.keySet());
        headings.addAll(now.keySet());
        List<KeyChange> changes = new ArrayList<>();
        for (String heading : headings) {
            addChanges(heading, old.getOrDefault(heading, Map.of()), now.getOrDefault(heading, Map.of()), changes);
        }
        return changes;
    }

    private static void addChanges(
            String heading, Map<String, IniEntry> old, Map<String, IniEntry> now, List<KeyChange> changes) {
        TreeSet<String> keys = new TreeSet<>(old.keySet());
        keys.addAll(now.keySet());
        for (String key : keys) {
            IniEntry before = old.get(key);
            IniEntry after = now.get(key);
            if (before == null || after == null || !before.value().equals(after.value())) {
                changes.add(new KeyChange(
                        heading,
                        key,
                        displayValue(before),
                        displayValue(after),
                        after == null ? null : after.origin().file(),
                        after == null ? 0 : after.origin().line()));
            }
        }
    }

    private static String displayValue(IniEntry entry) {
        if (entry == null) {
            return null;
        }
        return SECRET_KEY_PARTS.stream().anyMatch(entry.key()::contains) ? KeyChange.HIDDEN : entry.value();
    }

    private static Map<String, Map<String, IniEntry>> entriesByHeading(List<IniSection> sections) {
        Map<String, Map<String, IniEntry>> entriesByHeading = new TreeMap<>();
        for (IniSection section : sections) {
            Map<String, IniEntry> entries =
                    entriesByHeading.computeIfAbsent(section.heading(), heading -> new TreeMap<>());
            section.entries().forEach(entry -> entries.put(entry.key(), entry));
        }
        return entriesByHeading;
    }
}
