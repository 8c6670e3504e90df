package org.mangoridge.cli.command;

import java.io.PrintStream;
import java.time.Duration;
import java.util.List;

import org.mangoridge.core.Result;
import org.mangoridge.core.time.Clock;
import org.mangoridge.entry.config.ConfigMessages;

/** Waits until a generation is in force at every instance that an instance knows. */
final class InForceWait {

    private static final long PAUSE_MILLIS = 200;

    private final OperatorClient client;
    private final Clock clock;
    private final Duration longest;

    InForceWait(OperatorClient client, Clock clock, Duration longest) {
        this.client = client;
        this.clock = clock;
        this.longest = longest;
    }

    /** Returns whether the generation came into force everywhere in time, and prints which instances lag if not. */
    boolean await(long generation, PrintStream out) {
        Duration start = clock.elapsed();
        List<String> lagging = List.of("the instance asked");
        while (clock.elapsed().minus(start).compareTo(longest) < 0) {
            Result<ConfigMessages.Behind, OperatorClient.CallFailure> behind =
                    client.get("/config/behind?generation=" + generation, ConfigMessages.Behind.class);
            if (behind.isOk()) {
                lagging = behind.value().instances().stream()
                        .map(instance -> instance.instance() + " (" + instance.generation() + ")")
                        .toList();
            }
            if (lagging.isEmpty()) {
                Duration taken = clock.elapsed().minus(start);
                out.printf("in force everywhere after %d ms%n", taken.toMillis());
                return true;
            }
            if (!pause()) {
                return false;
            }
        }
        out.println("not in force after " + longest.toSeconds() + " s at: " + String.join(", ", lagging));
        return false;
    }

    private static boolean pause() {
        try {
            Thread.sleep(PAUSE_MILLIS);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
