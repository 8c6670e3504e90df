package org.mangoridge.cli.serving;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;
import org.mangoridge.cli.Main;
import org.mangoridge.http.HttpLineStream;

import static com.google.common.truth.Truth.assertThat;

class TopCommandTest {

    @Test
    void showsWhoFillsAServer() throws Exception {
        try (ServingFixture system = new ServingFixture(1, "prefill", "decode");
                HttpLineStream lines = system.open("Summarise the tender.", 2000)) {
            assertThat(lines.nextLine(ServingFixture.TIMEOUT).isOk()).isTrue();
            String decode = top(system, "decode-1");
            assertThat(decode).contains("\"caller\":\"counter\"");
            assertThat(decode).contains("\"slotsHeld\":1");
            assertThat(top(system, "prefill-0")).contains("\"prefillTokens\":6");
            assertThat(top(system, "nowhere")).contains("unknown_server");
        }
    }

    private static String top(ServingFixture system, String server) {
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        try (PrintStream out = new PrintStream(printed, true, StandardCharsets.UTF_8)) {
            String operator = system.operatorAddress().toString();
            Main.create().run(new String[] {"top", server, "--operator", operator, "--json"}, out, out);
        }
        return printed.toString(StandardCharsets.UTF_8);
    }
}
