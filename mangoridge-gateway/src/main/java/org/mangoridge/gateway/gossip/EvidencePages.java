package org.mangoridge.gateway.gossip;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.mangoridge.dispatch.quarantine.CrashEvidence;
import org.mangoridge.dispatch.quarantine.RequestParts;
import org.mangoridge.dispatch.request.RequestPart;

/** Divides evidence of crashes into pages that fit into a datagram. Not thread-safe. */
final class EvidencePages {

    /** Maximum encoded size of the crashes of a page; with sound answers and headers it fits into an Ethernet MTU. */
    private static final int MAX_CRASH_BYTES = 900;
    /** Encoded size of a crash without its requests. */
    private static final int CRASH_BYTES = 32;

    private final RotatingPage<CrashEvidence.Crash> crashes =
            new RotatingPage<>(MAX_CRASH_BYTES, EvidencePages::sizeOf);

    /** Returns the next page. */
    CrashEvidence next(CrashEvidence all) {
        List<CrashEvidence.Crash> page = crashes.next(all.crashes());
        return new CrashEvidence(page, soundAnswers(page, all));
    }

    private static Map<RequestPart, Double> soundAnswers(List<CrashEvidence.Crash> page, CrashEvidence all) {
        Map<RequestPart, Double> sound = new HashMap<>();
        for (CrashEvidence.Crash crash : page) {
            for (RequestParts request : crash.requests()) {
                for (RequestPart part : request.parts()) {
                    Double count = all.soundAnswers().get(part);
                    if (count != null) {
                        sound.put(part, count);
                    }
                }
            }
        }
        return sound;
    }

    private static int sizeOf(CrashEvidence.Crash crash) {
        int size = CRASH_BYTES;
        for (RequestParts request : crash.requests()) {
            size += 2;
            for (RequestPart part : request.parts()) {
                size += part.value().length() + 1;
            }
        }
        return size;
    }
}
