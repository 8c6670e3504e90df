package org.mangoridge.gateway.net;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

class RawJsonTest {

    private static final ObjectMapper JSON = new ObjectMapper();

    private static RawJson raw(String text) {
        return RawJson.of(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Test
    void membersAndElementsAreFoundByStructure() {
        RawJson value = raw(" {\"a\" : [1, \"x,]}\\\"\" , {\"b\":[]}], \"b\":\"{\", \"c\":null }\n");
        assertThat(value.member("a").elements().stream()
                        .map(each -> each.parse().toString()))
                .containsExactly("1", "\"x,]}\\\"\"", "{\"b\":[]}")
                .inOrder();
        assertThat(value.member("b").parse().textValue()).isEqualTo("{");
        assertThat(value.member("c").parse().isNull()).isTrue();
        assertThat(value.member("d").parse().isMissingNode()).isTrue();
        assertThat(value.member("a").member("b").parse().isMissingNode()).isTrue();
    }

    @Test
    void emptyValuesHaveNoParts() {
        assertThat(raw("[ ]").elements()).isEmpty();
        assertThat(raw("{}").member("a").parse().isMissingNode()).isTrue();
        assertThat(raw("").parse().isMissingNode()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{", "{\"a\":[1}", "{}}", "{\"a\":\"}", "[1]", "{} {}", "7"})
    void valuesThatAreNoWholeObjectAreRejected(String text) {
        assertThat(raw(text).isObject()).isFalse();
    }

    /** Guards against one malformed value that makes the values beside it unreadable. */
    @ParameterizedTest
    @ValueSource(strings = {"\"\u00ff\"", "{\"x\":1,\"x\":2}", "1 2", "nul", "{,}", "\"\n\"", "01", "[1,]"})
    void malformedElementIsMissingAndTheOthersHold(String odd) {
        List<RawJson> elements = raw("[1," + odd + ",{\"a\":2}]").elements();
        assertThat(elements.get(1).parse().isMissingNode()).isTrue();
        assertThat(elements.get(2).member("a").parse().intValue()).isEqualTo(2);
    }

    /** Guards against a stack or heap that one deep value exhausts. */
    @Test
    void depthCostsNoStack() {
        int depth = 1 << 19;
        List<RawJson> elements =
                raw("[" + "[".repeat(depth) + "]".repeat(depth) + ",3]").elements();
        assertThat(elements.get(0).parse().isMissingNode()).isTrue();
        assertThat(elements.get(1).parse().intValue()).isEqualTo(3);
    }

    /** Any bytes: nothing is thrown, and each part ends. */
    @Property(tries = 2000, seed = "20261205")
    void anyBytesAreWalked(@ForAll @Size(max = 200) List<@IntRange(min = 0, max = 11) Integer> choice) {
        StringBuilder text = new StringBuilder();
        choice.forEach(each -> text.append("{}[]\",:\\a1 \u00ff".charAt(each)));
        for (RawJson value : List.of(raw(text.toString()), raw("[" + text + "]"), raw("{\"a\":" + text + "}"))) {
            value.parse();
            value.elements().forEach(RawJson::parse);
            value.member("a").elements().forEach(each -> each.member("").parse());
        }
    }

    /** Whatever stands beside them, sound values are read as the parser reads them. */
    @Property(tries = 1000, seed = "20261205")
    void soundElementsAreReadAsByTheParser(@ForAll @Size(max = 8) List<String> texts) throws java.io.IOException {
        byte[] bytes = JSON.writeValueAsBytes(texts);
        JsonNode expected = JSON.readTree(bytes);
        List<RawJson> elements = RawJson.of(Arrays.copyOf(bytes, bytes.length)).elements();
        assertThat(elements).hasSize(texts.size());
        for (int i = 0; i < texts.size(); i++) {
            assertThat(elements.get(i).parse()).isEqualTo(expected.get(i));
        }
    }
}
