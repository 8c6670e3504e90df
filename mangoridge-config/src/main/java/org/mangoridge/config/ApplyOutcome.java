package org.mangoridge.config;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.mangoridge.config.audit.KeyChange;

/** The result of an apply: published, not published, or not known. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "outcome")
@JsonSubTypes({
    @JsonSubTypes.Type(value = ApplyOutcome.Accepted.class, name = "accepted"),
    @JsonSubTypes.Type(value = ApplyOutcome.Unchanged.class, name = "unchanged"),
    @JsonSubTypes.Type(value = ApplyOutcome.Refused.class, name = "refused"),
    @JsonSubTypes.Type(value = ApplyOutcome.Overtaken.class, name = "overtaken"),
    @JsonSubTypes.Type(value = ApplyOutcome.Unknown.class, name = "unknown")
})
public sealed interface ApplyOutcome {

    /**
     * The configuration was published.
     *
     * @param id the apply
     * @param generation the generation that it published
     * @param changes the keys that changed; empty if the outcome was queried later
     */
    record Accepted(String id, long generation, List<KeyChange> changes) implements ApplyOutcome {}

    /**
     * The configuration in force has the same content; nothing was published.
     *
     * @param id the apply
     * @param generation the generation in force
     */
    record Unchanged(String id, long generation) implements ApplyOutcome {}

    /**
     * The configuration was not published and will not be.
     *
     * @param id the apply
     * @param problems the reasons
     */
    record Refused(String id, List<String> problems) implements ApplyOutcome {

        /** Returns a refusal with a single reason. */
        static Refused of(ApplyId id, String reason) {
            return new Refused(id.value(), List.of(reason));
        }
    }

    /**
     * Another apply was published after the base generation; the configuration was not published and will not be.
     *
     * @param id the apply
     * @param generation the generation in force
     * @param since the changes published after the base generation of the apply, oldest first; only the latest ones if
     *     there are many
     */
    record Overtaken(String id, long generation, List<ConcurrentChange> since) implements ApplyOutcome {}

    /**
     * The platform could not confirm the outcome; the configuration may have been published or may be published later.
     *
     * @param id the apply, whose outcome can be queried again
     * @param detail why the outcome is not known
     */
    record Unknown(String id, String detail) implements ApplyOutcome {}
}
