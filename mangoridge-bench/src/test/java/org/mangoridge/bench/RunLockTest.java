package org.mangoridge.bench;

import java.io.IOException;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static com.google.common.truth.Truth.assertThat;

class RunLockTest {

    @TempDir
    private Path folder;

    @Test
    void onlyOneRunHoldsIt() throws IOException {
        Path file = folder.resolve("lock");
        try (RunLock first = RunLock.tryTake(file).orElseThrow()) {
            assertThat(first).isNotNull();
            assertThat(RunLock.tryTake(file)).isEmpty();
        }
        try (RunLock second = RunLock.tryTake(file).orElseThrow()) {
            assertThat(second).isNotNull();
        }
    }
}
