package org.mangoridge.config;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.mangoridge.config.audit.KeyChange;

/** What became of an apply. */
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
     * @param generation its number
     * @param changes the keys that changed, empty if the outcome was asked for later
     */
    record Accepted(String id, long generation, List<KeyChange> changes) implements ApplyOutcome {}

    /**
     * The configuration in force says the same; nothing was published.
     *
     * @param id the apply
     * @param generation the generation in force
     */
    record Unchanged(String id, long generation) implements ApplyOutcome {}

    /**
     * The configuration was not published and will not be.
     *
     * @param id the apply
     * @param problems why
     */
    record Refused(String id, List<String> problems) implements ApplyOutcome {

        /** Returns a refusal for one reason. */
        static Refused of(ApplyId id, String reason) {
            return new Refused(id.value(), List.of(reason));
        }
    }

    /**
     * Others published first; the configuration was not published and will not be.
     *
     * @param id the apply
     * @param generation the generation in force
     * @param since what was published since the generation that the operator had seen, the oldest first
     */
    record Overtaken(String id, long generation, List<ConcurrentChange> since) implements ApplyOutcome {}

    /**
     * The platform stays away; the configuration may have been published, or may yet be.
     *
     * @param id the apply, to be asked for again
     * @param detail what is not known
     */
    record Unknown(String id, String detail) implements ApplyOutcome {}
}
