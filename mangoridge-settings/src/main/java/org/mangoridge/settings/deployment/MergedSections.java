package org.mangoridge.settings.deployment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.mangoridge.settings.ini.IniEntry;
import org.mangoridge.settings.ini.IniSection;

/**
 * The sections of several files, merged key by key; the value in the later file wins.
 *
 * @param sections the merged sections
 * @param overrides the values that a later file replaced, in the order of replacement
 */
public record MergedSections(List<IniSection> sections, List<Replacement> overrides) {

    /**
     * A value that a later file replaced.
     *
     * @param heading the heading of the section
     * @param earlier the value that was replaced
     * @param later the value that replaced it
     */
    public record Replacement(String heading, IniEntry earlier, IniEntry later) {}

    /** Merges the sections of {@code files}, given as one list of sections for each file. */
    public static MergedSections merge(List<List<IniSection>> files) {
        Map<String, Map<String, IniEntry>> entriesByHeading = new LinkedHashMap<>();
        Map<String, IniSection> firstByHeading = new LinkedHashMap<>();
        List<Replacement> overrides = new ArrayList<>();
        for (List<IniSection> file : files) {
            for (IniSection section : file) {
                firstByHeading.putIfAbsent(section.heading(), section);
                Map<String, IniEntry> entries =
                        entriesByHeading.computeIfAbsent(section.heading(), heading -> new LinkedHashMap<>());
                mergeSection(section, entries, overrides);
            }
        }
        List<IniSection> sections = new ArrayList<>();
        firstByHeading.forEach((heading, section) -> sections.add(new IniSection(
                section.kind(),
                section.name(),
                section.origin(),
                List.copyOf(entriesByHeading.get(heading).values()))));
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

    /** Returns the merged sections as one INI text in canonical form, with sections and keys sorted. */
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
