package org.mangoridge.settings.ini;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

/** Reads the keys of one section and collects what is wrong with them. */
public final class SectionReader {

    private final IniSection section;
    private final List<Problem> problems;
    private final Map<String, IniEntry> entries = new HashMap<>();
    private final Set<String> known = new HashSet<>();

    /** Creates a reader that adds to {@code problems}; a key that the file writes twice is one. */
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

    /** Returns the value of a key that must be present, or null after noting a problem. */
    public <T> T required(String key, Function<String, T> parser) {
        known.add(key);
        if (!entries.containsKey(key)) {
            problems.add(new Problem(section.origin(), key, "missing in [" + section.heading() + "]"));
            return null;
        }
        return parse(entries.get(key), parser, null);
    }

    /** Returns the value of a key, or {@code fallback} if it is absent or, after noting it, wrong. */
    public <T> T optional(String key, Function<String, T> parser, T fallback) {
        known.add(key);
        IniEntry entry = entries.get(key);
        return entry == null ? fallback : parse(entry, parser, fallback);
    }

    /** Returns the entries whose keys start with {@code prefix}, which count as known. */
    public List<IniEntry> withPrefix(String prefix) {
        List<IniEntry> found = new ArrayList<>();
        for (IniEntry entry : section.entries()) {
            if (entry.key().startsWith(prefix)) {
                known.add(entry.key());
                found.add(entry);
            }
        }
        return found;
    }

    /** Notes a problem with {@code key} of this section. */
    public void reject(String key, String message) {
        IniEntry entry = entries.get(key);
        problems.add(new Problem(entry == null ? section.origin() : entry.origin(), key, message));
    }

    /** Notes every key that was not asked for. */
    public void finish() {
        for (IniEntry entry : section.entries()) {
            if (!known.contains(entry.key())) {
                List<String> accepted = known.stream().sorted().toList();
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
