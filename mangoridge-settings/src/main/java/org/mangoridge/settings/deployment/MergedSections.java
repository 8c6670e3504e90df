package org.mangoridge.settings.deployment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.mangoridge.settings.ini.IniEntry;
import org.mangoridge.settings.ini.IniSection;

/**
 * The sections of a folder's files, merged key by key in the order of the file names.
 *
 * @param sections the merged sections
 * @param overrides every value that a later file replaced
 */
public record MergedSections(List<IniSection> sections, List<Replacement> overrides) {

    /**
     * A value that a later file replaced.
     *
     * @param heading the section
     * @param earlier what was replaced
     * @param later what replaced it
     */
    public record Replacement(String heading, IniEntry earlier, IniEntry later) {}

    /** Merges the sections of {@code files}, each file's list in its order. */
    public static MergedSections merge(List<List<IniSection>> files) {
        Map<String, Map<String, IniEntry>> merged = new LinkedHashMap<>();
        Map<String, IniSection> first = new LinkedHashMap<>();
        List<Replacement> overrides = new ArrayList<>();
        for (List<IniSection> file : files) {
            for (IniSection section : file) {
                first.putIfAbsent(section.heading(), section);
                Map<String, IniEntry> entries =
                        merged.computeIfAbsent(section.heading(), heading -> new LinkedHashMap<>());
                mergeSection(section, entries, overrides);
            }
        }
        List<IniSection> sections = new ArrayList<>();
        first.forEach((heading, section) -> sections.add(new IniSection(
                section.kind(),
                section.name(),
                section.origin(),
                List.copyOf(merged.get(heading).values()))));
        return new MergedSections(sections, overrides);
    }

    private static void mergeSection(IniSection section, Map<String, IniEntry> entries, List<Replacement> overrides) {
        for (IniEntry entry : section.entries()) {
            IniEntry earlier = entries.put(entry.key(), entry);
            if (earlier != null) {
                overrides.add(new Replacement(section.heading(), earlier, entry));
            }
        }
    }

    /** Returns the merged result as one INI text in canonical form: sections and keys sorted. */
    public String canonicalText() {
        StringBuilder text = new StringBuilder();
        sections.stream()
                .sorted(Comparator.comparing(IniSection::heading))
                .forEach(section -> appendSection(text, section));
        return text.toString();
    }

    private static void appendSection(StringBuilder text, IniSection section) {
        text.append('[').append(section.heading()).append("]\n");
        section.entries().stream().sorted(Comparator.comparing(IniEntry::key)).forEach(entry -> text.append(entry.key())
                .append(" = ")
                .append(entry.value())
                .append('\n'));
        text.append('\n');
    }
}
