package org.mangoridge.gateway.gossip;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.dispatch.directory.ServerRun;
import org.mangoridge.dispatch.quarantine.CrashEvidence;
import org.mangoridge.dispatch.quarantine.RequestParts;
import org.mangoridge.dispatch.request.RequestPart;

import static com.google.common.truth.Truth.assertThat;

class EvidencePagesTest {

    /** Payload of a datagram that fits into an Ethernet MTU. */
    private static final int MAX_DATAGRAM_BYTES = 1400;

    private static CrashEvidence evidence(int crashes) {
        List<CrashEvidence.Crash> all = new ArrayList<>();
        for (int i = 0; i < crashes; i++) {
            List<RequestParts> prompts = new ArrayList<>();
            for (int j = 0; j < 1 + i % 8; j++) {
                prompts.add(new RequestParts(
                        List.of(RequestPart.of("f0000000"), RequestPart.of("%08x".formatted(i * 8 + j)))));
            }
            ServerRun run = new ServerRun(ServerId.of("i-%010x".formatted(i)), 1_700_000_000_000L + i);
            all.add(new CrashEvidence.Crash(run, Duration.ofMillis(i), prompts));
        }
        return new CrashEvidence(all, Map.of(RequestPart.of("f0000000"), 7.5));
    }

    /** Every crash is told within a few pages, and the newest one in each, whatever the number of crashes. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3, 20, 64})
    void allCrashesAreToldInTurn(int crashes) {
        CrashEvidence all = evidence(crashes);
        EvidencePages pages = new EvidencePages();
        Set<CrashEvidence.Crash> told = new HashSet<>();
        for (int i = 0; i < 32; i++) {
            CrashEvidence page = pages.next(all);
            byte[] datagram = LoadCodec.encodeEvidence(page, true);
            assertThat(datagram.length).isAtMost(MAX_DATAGRAM_BYTES);
            assertThat(LoadCodec.decodeBatch(datagram).value().evidence()).isEqualTo(page);
            assertThat(page.crashes()).contains(all.crashes().getFirst());
            told.addAll(page.crashes());
        }
        assertThat(told).containsExactlyElementsIn(all.crashes());
    }
}
