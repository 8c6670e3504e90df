package org.mangoridge.settings.deployment;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mangoridge.core.Result;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.settings.ini.Problem;

import static com.google.common.truth.Truth.assertThat;

class DeploymentParserTest {

    private static final String VALID_CONFIG = """
            [service guide]
            kind = model
            model = guide-llm
            version = 3
            [class counter]
            first-token = 340ms
            per-token = 39ms
            [caller desk]
            key-hash = %s
            class = counter
            [server d1]
            address = 127.0.0.1:9000
            zone = a
            role = decode
            service = guide
            """.formatted(KeyHash.of(new byte[8], "secret"));

    @Test
    void parsesAllSections() {
        Deployment deployment =
                DeploymentParser.parseText("all.ini", VALID_CONFIG).value();
        assertThat(deployment.serversOf(ServiceId.of("guide"))).hasSize(1);
        assertThat(deployment.callers().iterator().next().keyHash().matches("secret"))
                .isTrue();
        assertThat(deployment.callers().iterator().next().keyHash().matches("other"))
                .isFalse();
    }

    @ParameterizedTest
    @CsvSource({
        "first-token = 340ms, first-token = 340, all.ini:6: first-token: expected a whole number",
        "role = decode, role = decoder, all.ini:14: role: expected one of prefill",
        "role = decode, role = plain, server d1:0: role: expected plain for a server of a plain service",
        "class = counter, class = desk, all.ini:10: class: there is no [class desk]",
        "zone = a, zome = a, all.ini:13: zome: unknown key",
        "zone = a, kind = model, all.ini:11: zone: missing in [server d1]",
        "[class counter], [klass counter], all.ini:5: klass counter: unknown section",
        "version = 3, model = x, all.ini:4: model: already set at all.ini:3",
    })
    void reportsFileLineAndKeyOfAnError(String valid, String invalid, String expected) {
        Result<Deployment, List<Problem>> result =
                DeploymentParser.parseText("all.ini", VALID_CONFIG.replace(valid, invalid));
        List<String> problems = result.error().stream().map(Problem::toString).toList();
        assertThat(problems.stream().anyMatch(problem -> problem.startsWith(expected)))
                .isTrue();
    }
}
