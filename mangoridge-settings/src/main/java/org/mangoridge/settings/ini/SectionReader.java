package org.mangoridge.settings.ini;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/** Reads the keys of one section and collects the problems found. */
public final class SectionReader {

    private final IniSection section;
    private final List<Problem> problems;
    private final Map<String, IniEntry> entries = new HashMap<>();
    private final Set<String> acceptedKeys = new HashSet<>();

    /**
     * Creates a reader of {@code section}, and reports each key that the section sets twice.
     *
     * @param problems the list to which the reader adds the problems that it finds
     */
    public SectionReader(IniSection section, List<Problem> problems) {
        this.section = section;
        this.problems = problems;
        for (IniEntry entry : section.entries()) {
            IniEntry earlier = entries.putIfAbsent(entry.key(), entry);
            if (earlier != null) {
                problems.add(new Problem(entry.origin(), entry.key(), "already set at " + earlier.origin()));
            }
        }
    }

    /**
     * Returns the value of a required key, or null if the key is absent or its value invalid.
     *
     * <p>Either case is also reported as a problem.
     */
    public <T> T required(String key, Function<String, T> parser) {
        acceptedKeys.add(key);
        if (!entries.containsKey(key)) {
            problems.add(new Problem(section.origin(), key, "missing in [" + section.heading() + "]"));
            return null;
        }
        return parse(entries.get(key), parser, null);
    }

    /**
     * Returns the value of an optional key, or {@code fallback} if the key is absent or its value invalid.
     *
     * <p>An invalid value is also reported as a problem.
     */
    public <T> T optional(String key, Function<String, T> parser, T fallback) {
        acceptedKeys.add(key);
        IniEntry entry = entries.get(key);
        return entry == null ? fallback : parse(entry, parser, fallback);
    }

    /** Returns the entries whose keys start with {@code prefix}, and accepts these keys. */
    public List<IniEntry> entriesWithPrefix(String prefix) {
        List<IniEntry> found = new ArrayList<>();
        for (IniEntry entry : section.entries()) {
            if (entry.key().startsWith(prefix)) {
                acceptedKeys.add(entry.key());
                found.add(entry);
            }
        }
        return found;
    }

    /** Reports a problem with the value of {@code key}; its place is the section heading if the key is absent. */
    public void reject(String key, String message) {
        IniEntry entry = entries.get(key);
        problems.add(new Problem(entry == null ? section.origin() : entry.origin(), key, message));
    }

    /** Reports each key of the section that no call has read; call this after all keys were read. */
    public void rejectUnknownKeys() {
        for (IniEntry entry : section.entries()) {
            if (!acceptedKeys.contains(entry.key())) {
                List<String> accepted = acceptedKeys.stream().sorted().toList();
                problems.add(new Problem(
                        entry.origin(), entry.key(), "unknown key; accepted here: " + String.join(", ", accepted)));
            }
        }
    }

    private <T> T parse(IniEntry entry, Function<String, T> parser, T fallback) {
        try {
            return parser.apply(entry.value());
        } catch (IllegalArgumentException e) {
            problems.add(new Problem(entry.origin(), entry.key(), e.getMessage()));
            return fallback;
        }
    }
}
