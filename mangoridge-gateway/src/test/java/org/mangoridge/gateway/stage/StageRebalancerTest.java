package org.mangoridge.gateway.stage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.dispatch.directory.ServerEntry;
import org.mangoridge.dispatch.directory.ServerStage;

import static com.google.common.truth.Truth.assertThat;

class StageRebalancerTest {

    static ServerEntry server(String id, ServerStage stage, String zone) {
        return new ServerEntry(
                ServerId.of(id),
                ServiceId.of("drafts"),
                new HostPort("127.0.0.1", 80),
                AvailabilityZone.of(zone),
                16,
                false,
                stage,
                1,
                ServerEntry.UNKNOWN_SEQUENCE);
    }

    static List<ServerEntry> servers(int prefill, int decode) {
        List<ServerEntry> servers = new ArrayList<>();
        for (int i = 0; i < prefill; i++) {
            servers.add(server("p-" + i, ServerStage.PREFILL, "z" + i % 3));
        }
        for (int i = 0; i < decode; i++) {
            servers.add(server("d-" + i, ServerStage.DECODE, "z" + i % 3));
        }
        return servers;
    }

    /** Streams fill the KV cache of decode servers while prefill servers are idle most of the time. */
    @ParameterizedTest
    @CsvSource({
        "3, 3, DECODE",
        "4, 6, DECODE",
        "2, 4, none",
        "3, 7, none",
        "0, 4, PREFILL",
        "1, 7, none",
        "1, 11, PREFILL",
        "2, 0, DECODE",
        "1, 0, none",
        "0, 2, none"
    })
    void aQuarterOfTheServersIsForPrefill(int prefill, int decode, String expected) {
        Optional<StageChange> change = StageRebalancer.nextChange(servers(prefill, decode), server -> 0);
        assertThat(change.map(each -> each.to().name()).orElse("none")).isEqualTo(expected);
    }

    @Test
    void theZoneWithMostPrefillServersLosesOne() {
        List<ServerEntry> servers = List.of(
                server("p-1", ServerStage.PREFILL, "a"),
                server("p-2", ServerStage.PREFILL, "b"),
                server("p-3", ServerStage.PREFILL, "b"),
                server("d-1", ServerStage.DECODE, "a"));
        assertThat(StageRebalancer.nextChange(servers, server -> 0)
                        .get()
                        .server()
                        .zone())
                .isEqualTo(AvailabilityZone.of("b"));
    }
}
