package org.mangoridge.config;

import java.util.List;
import java.util.Optional;

import org.mangoridge.core.Checks;
import org.mangoridge.settings.ini.IniSection;

/**
 * Asks for a configuration to be published.
 *
 * @param id names the apply
 * @param operator who asks
 * @param from where the request came from
 * @param base the generation that the operator has seen; without it the one in force when the apply starts
 * @param sections the merged sections with the file and line of each key
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
