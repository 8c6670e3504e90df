package org.mangoridge.cli;

import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.mangoridge.core.Result;
import org.mangoridge.settings.InstanceSettings;
import org.mangoridge.settings.InstanceSettingsParser;
import org.mangoridge.settings.deployment.Deployment;
import org.mangoridge.settings.deployment.DeploymentParser;
import org.mangoridge.settings.ini.Problem;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/** Holds the settings tables of the operators' handbook to what the parsers accept. */
class SettingsTablesTest {

    private static final String HASH = "00112233445566aa:" + "0".repeat(64);
    private static final String MODEL_ONLY = "`kind = model` only";
    private static final Pattern MISSING = Pattern.compile("missing in \\[(\\w+)( \\w+)?]");
    private static final Pattern LITERAL = Pattern.compile("`([^`]+)`");

    /** A row of a settings table. */
    private record Row(String section, String key, String fallback, String meaning) {

        boolean isRequired() {
            return fallback.equals("required");
        }

        String place() {
            return section + " " + key;
        }
    }

    @Test
    void theInstanceTableHasTheSectionsThatAreAccepted() {
        assertThat(sections(instanceRows())).containsExactlyElementsIn(accepted(instanceProblems("[nowhere]\n")));
    }

    @Test
    void theDeploymentTableHasTheSectionsThatAreAccepted() {
        assertThat(sections(deploymentRows()))
                .containsExactlyElementsIn(accepted(deploymentProblems("[nowhere at-all]\n")));
    }

    @Test
    void theInstanceTableHasTheKeysThatAreAccepted() {
        for (String section : sections(instanceRows())) {
            String operator = section.equals("operators") ? "token.NAME = " + HASH + "\n" : "";
            List<String> keys = accepted(instanceProblems("[" + section + "]\nunknown-key = 1\n" + operator));
            assertWithMessage(section)
                    .that(keys(instanceRows(), row -> row.section().equals(section)))
                    .containsExactlyElementsIn(keys);
        }
    }

    @Test
    void theDeploymentTableHasTheKeysThatAreAccepted() {
        for (String section : sections(deploymentRows())) {
            String kind = section.startsWith("service") ? "kind = model\n" : "";
            List<String> keys = accepted(deploymentProblems("[" + section + "]\nunknown-key = 1\n" + kind));
            assertWithMessage(section)
                    .that(keys(deploymentRows(), row -> row.section().equals(section)))
                    .containsExactlyElementsIn(keys);
        }
    }

    @Test
    void theTableSaysWhichKeysOnlyModelServicesHave() {
        List<String> keys = accepted(deploymentProblems("[service NAME]\nkind = plain\nunknown-key = 1\n"));
        assertThat(keys(
                        deploymentRows(),
                        row -> row.section().equals("service NAME")
                                && !row.meaning().startsWith(MODEL_ONLY)))
                .containsExactlyElementsIn(keys);
    }

    @Test
    void theInstanceTableMarksTheKeysThatMustBeSet() {
        assertThat(required(instanceRows())).containsExactlyElementsIn(missing(instanceProblems("")));
    }

    @Test
    void theDeploymentTableMarksTheKeysThatMustBeSet() {
        String empty = "[service a]\n[service b]\nkind = model\n[class a]\n[caller a]\n[server a]\n";
        assertThat(required(deploymentRows())).containsExactlyElementsIn(missing(deploymentProblems(empty)));
    }

    @ParameterizedTest
    @MethodSource("instanceRows")
    void theInstanceTableNamesTheDefaults(Row row) {
        InstanceSettings plain = instance(valid()).value();
        literal(row)
                .ifPresent(value ->
                        assertThat(instance(with(valid(), row, value)).value()).isEqualTo(plain));
    }

    @ParameterizedTest
    @MethodSource("deploymentRows")
    void theDeploymentTableNamesTheDefaults(Row row) {
        Deployment plain = deployment(validDeployment()).value();
        literal(row).ifPresent(value -> {
            Deployment same = deployment(with(validDeployment(), row, value)).value();
            assertThat(same.services()).containsExactlyElementsIn(plain.services());
            assertThat(same.servers()).containsExactlyElementsIn(plain.servers());
            assertThat(same.callers()).containsExactlyElementsIn(plain.callers());
            assertThat(same.classes()).containsExactlyElementsIn(plain.classes());
        });
    }

    static List<Row> instanceRows() {
        return rows(row -> !row.section().contains(" "));
    }

    static List<Row> deploymentRows() {
        return rows(row -> row.section().contains(" "));
    }

    private static List<Row> rows(Predicate<Row> chosen) {
        List<Row> rows = HandbookTable.rows("settings.md", "| `[").stream()
                .map(cells -> new Row(unquoted(cells.get(0)), unquoted(cells.get(1)), cells.get(3), cells.get(4)))
                .filter(chosen)
                .toList();
        rows.forEach(row -> assertWithMessage(row.place()).that(row.meaning()).isNotEmpty());
        return rows;
    }

    private static String unquoted(String cell) {
        return cell.replaceAll("[`\\[\\]]", "");
    }

    private static List<String> sections(List<Row> rows) {
        return rows.stream().map(Row::section).distinct().toList();
    }

    private static List<String> keys(List<Row> rows, Predicate<Row> chosen) {
        return rows.stream().filter(chosen).map(Row::key).toList();
    }

    private static List<String> required(List<Row> rows) {
        return rows.stream().filter(Row::isRequired).map(Row::place).toList();
    }

    /** Returns the names that the one message about an unknown section or key lists. */
    private static List<String> accepted(List<Problem> problems) {
        List<String> messages = problems.stream()
                .map(Problem::message)
                .filter(message -> message.startsWith("unknown "))
                .toList();
        assertThat(messages).hasSize(1);
        String list = messages.get(0).substring(messages.get(0).indexOf(": ") + 2);
        return Arrays.asList(list.split(", "));
    }

    private static List<String> missing(List<Problem> problems) {
        return problems.stream()
                .map(problem -> {
                    Matcher matcher = MISSING.matcher(problem.message());
                    assertWithMessage(problem.toString())
                            .that(matcher.matches())
                            .isTrue();
                    return matcher.group(1) + (matcher.group(2) == null ? "" : " NAME") + " " + problem.key();
                })
                .distinct()
                .toList();
    }

    private static Optional<String> literal(Row row) {
        Matcher matcher = LITERAL.matcher(row.fallback());
        return matcher.matches() ? Optional.of(matcher.group(1)) : Optional.empty();
    }

    private static List<Problem> instanceProblems(String text) {
        return InstanceSettingsParser.parse("test.ini", text).error();
    }

    private static List<Problem> deploymentProblems(String text) {
        return DeploymentParser.parseText("test.ini", text).error();
    }

    private static Result<InstanceSettings, List<Problem>> instance(Map<String, Map<String, String>> sections) {
        return InstanceSettingsParser.parse("test.ini", text(sections));
    }

    private static Result<Deployment, List<Problem>> deployment(Map<String, Map<String, String>> sections) {
        return DeploymentParser.parseText("test.ini", text(sections));
    }

    /** Returns the smallest settings of an instance. */
    private static Map<String, Map<String, String>> valid() {
        String address = "127.0.0.1:1";
        Map<String, Map<String, String>> sections = new LinkedHashMap<>();
        sections.put("instance", Map.of("id", "a", "zone", "a"));
        sections.put("listen", Map.of("caller", address, "peer", address, "operator", address));
        sections.put("platform", Map.of("address", address));
        return sections;
    }

    /** Returns the smallest deployment with a section of each kind. */
    private static Map<String, Map<String, String>> validDeployment() {
        Map<String, Map<String, String>> sections = new LinkedHashMap<>();
        sections.put("service NAME", Map.of("kind", "model", "model", "m", "version", "1"));
        sections.put("class NAME", Map.of("first-token", "1s", "per-token", "1s"));
        sections.put("caller NAME", Map.of("key-hash", HASH, "class", "NAME"));
        sections.put("server NAME", Map.of("address", "127.0.0.1:1", "zone", "a", "role", "both", "service", "NAME"));
        return sections;
    }

    private static Map<String, Map<String, String>> with(
            Map<String, Map<String, String>> sections, Row row, String value) {
        Map<String, String> entries = new TreeMap<>(sections.getOrDefault(row.section(), Map.of()));
        assertWithMessage(row.place()).that(entries.put(row.key(), value)).isNull();
        sections.put(row.section(), entries);
        return sections;
    }

    private static String text(Map<String, Map<String, String>> sections) {
        return sections.entrySet().stream()
                .map(section -> "[" + section.getKey() + "]\n"
                        + section.getValue().entrySet().stream()
                                .map(entry -> entry.getKey() + " = " + entry.getValue() + "\n")
                                .collect(Collectors.joining()))
                .collect(Collectors.joining());
    }
}
