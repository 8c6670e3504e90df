package org.mangoridge.entry.config;

import java.util.List;

import org.mangoridge.config.audit.ChainedEntry;
import org.mangoridge.config.audit.KeyChange;
import org.mangoridge.settings.ini.IniSection;

/** The JSON messages of the HTTP endpoints for the configuration and the audit trail. */
public final class ConfigMessages {

    private ConfigMessages() {}

    /**
     * The body of {@code POST /config/apply} and {@code POST /config/diff}.
     *
     * @param id the apply id, or null in a diff
     * @param base the generation that the change is based on, or null if unspecified
     * @param from the host and directory of the configuration files
     * @param sections the sections, merged from all files
     */
    public record Apply(String id, Long base, String from, List<IniSection> sections) {

        public Apply {
            from = from == null ? "" : from;
            sections = sections == null ? List.of() : List.copyOf(sections);
        }
    }

    /**
     * The body of {@code POST /config/ask}.
     *
     * @param id the apply id whose outcome is requested
     */
    public record Ask(String id) {}

    /**
     * An instance that has not adopted the requested generation.
     *
     * @param instance its name
     * @param generation the generation that it has in force
     */
    public record Lagging(String instance, long generation) {}

    /**
     * The answer to {@code GET /config/behind}.
     *
     * @param instances the instances that have not adopted the requested generation
     */
    public record Behind(List<Lagging> instances) {

        public Behind {
            instances = instances == null ? List.of() : List.copyOf(instances);
        }
    }

    /**
     * One entry of the answer to {@code GET /audit}.
     *
     * @param hash the hash of the entry
     * @param entry the entry, linked to its predecessor in the trail
     * @param changes the changed keys, empty unless requested
     */
    public record Audited(String hash, ChainedEntry entry, List<KeyChange> changes) {}

    /**
     * The answer to {@code GET /audit}.
     *
     * @param trail the name of the trail
     * @param total the number of entries in the trail
     * @param problems the verification failures, empty if the whole chain is valid
     * @param entries the matching entries, newest first
     */
    public record AuditList(String trail, int total, List<String> problems, List<Audited> entries) {}
}
