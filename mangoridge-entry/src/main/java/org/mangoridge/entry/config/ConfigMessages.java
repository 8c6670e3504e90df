package org.mangoridge.entry.config;

import java.util.List;

import org.mangoridge.config.audit.ChainedEntry;
import org.mangoridge.config.audit.KeyChange;
import org.mangoridge.settings.ini.IniSection;

/** The JSON messages by which operators change and inspect the configuration. */
public final class ConfigMessages {

    private ConfigMessages() {}

    /**
     * The body of {@code POST /config/apply} and {@code POST /config/diff}.
     *
     * @param id the apply id, or null in a diff
     * @param base the generation that the operator has seen, or null
     * @param from the host and folder that the files come from
     * @param sections the merged sections
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
     * @param id the apply id
     */
    public record Ask(String id) {}

    /**
     * An instance that lags behind.
     *
     * @param instance its name
     * @param generation what it has in force
     */
    public record Lagging(String instance, long generation) {}

    /**
     * The answer to {@code GET /config/behind}.
     *
     * @param instances the instances that have not adopted the generation asked for
     */
    public record Behind(List<Lagging> instances) {

        public Behind {
            instances = instances == null ? List.of() : List.copyOf(instances);
        }
    }

    /**
     * One entry of the answer to {@code GET /audit}.
     *
     * @param hash its hash
     * @param entry the entry in its trail
     * @param changes the changed keys, empty unless asked for
     */
    public record Audited(String hash, ChainedEntry entry, List<KeyChange> changes) {}

    /**
     * The answer to {@code GET /audit}.
     *
     * @param trail the trail
     * @param total how many entries the trail holds
     * @param problems what does not verify, empty if the whole chain does
     * @param entries the entries that match, the newest first
     */
    public record AuditList(String trail, int total, List<String> problems, List<Audited> entries) {}
}
