package org.mangoridge.config;

import java.util.List;
import java.util.Optional;

import org.mangoridge.core.Checks;
import org.mangoridge.settings.ini.IniSection;

/**
 * A request to publish a configuration.
 *
 * @param id the id of the apply
 * @param operator the operator who sent the request
 * @param from the origin of the request, recorded in the audit trail
 * @param base the generation that the change is based on; if empty, the one in force when the apply starts
 * @param sections the merged sections, with the file and line of each key
 */
public record ApplyRequest(ApplyId id, String operator, String from, Optional<Long> base, List<IniSection> sections) {

    public ApplyRequest {
        Checks.notNull(id, "apply id");
        Checks.notBlank(operator, "operator");
        Checks.notNull(from, "from");
        Checks.notNull(base, "base");
        sections = List.copyOf(sections);
    }
}
