package org.mangoridge.dispatch.quarantine;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import org.mangoridge.dispatch.directory.ServerRun;
import org.mangoridge.dispatch.request.RequestPart;

/**
 * What instances know of crashes of servers and of sound answers, as they tell it to each other.
 *
 * @param crashes the crashes, the newest first
 * @param soundAnswers the decayed number of sound answers to requests with a part, for parts that a crash implicates
 */
public record CrashEvidence(List<Crash> crashes, Map<RequestPart, Double> soundAnswers) {

    /** Evidence of nothing. */
    public static final CrashEvidence NONE = new CrashEvidence(List.of(), Map.of());

    public CrashEvidence {
        crashes = List.copyOf(crashes);
        soundAnswers = Map.copyOf(soundAnswers);
    }

    /**
     * The crash of a server.
     *
     * @param run the run that ended
     * @param age how long ago it ended
     * @param requests the requests that the server was about to answer or had just begun to answer
     */
    public record Crash(ServerRun run, Duration age, List<RequestParts> requests) {

        public Crash {
            requests = List.copyOf(requests);
        }
    }

    /** Returns whether there is no crash to tell of. */
    public boolean isEmpty() {
        return crashes.isEmpty();
    }
}
