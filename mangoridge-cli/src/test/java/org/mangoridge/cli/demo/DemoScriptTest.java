package org.mangoridge.cli.demo;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertWithMessage;

class DemoScriptTest {

    @Test
    void everyStepGoesAsItShould() throws InterruptedException {
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        try (DemoSystem system = DemoSystem.start();
                PrintStream out = new PrintStream(printed, true, StandardCharsets.UTF_8)) {
            boolean passed = new DemoScript(system, out).run();
            assertWithMessage(printed.toString(StandardCharsets.UTF_8))
                    .that(passed)
                    .isTrue();
        }
    }
}
