package org.mangoridge.gateway.gossip;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.dispatch.balance.ServerLoad;

import static com.google.common.truth.Truth.assertThat;

class LoadCodecTest {

    @Test
    void encodedReportsInABatchDecodeToTheSameReport() {
        LoadReport report = new LoadReport(
                new LoadReport.Origin(
                        InstanceId.of("entry-1"),
                        17,
                        new HostPort("10.0.0.7", 7000),
                        AvailabilityZone.of("zone-a"),
                        750),
                4,
                Map.of(ServerId.of("s-1"), new ServerLoad(2, 3000, 9000, 1200)),
                List.of(new HostPort("10.0.0.1", 7000)),
                new LoadReport.StoreVersions(2, 12, 530),
                true,
                false);
        byte[] datagram = LoadCodec.encodeBatch(List.of(LoadCodec.encode(report), LoadCodec.encode(report)), true);
        LoadCodec.Batch batch = LoadCodec.decodeBatch(datagram).value();
        assertThat(batch.passOn()).isTrue();
        assertThat(batch.reports()).hasSize(2);
        for (byte[] encoded : batch.reports()) {
            assertThat(LoadCodec.create().decode(encoded).value()).isEqualTo(report);
        }
    }

    @Test
    void invalidBytesAreRejected() {
        assertThat(LoadCodec.create().decode(new byte[] {1, 2, 3}).isOk()).isFalse();
        assertThat(LoadCodec.create().decode(new byte[0]).isOk()).isFalse();
        assertThat(LoadCodec.decodeBatch(new byte[] {1, 2, 3}).isOk()).isFalse();
        assertThat(LoadCodec.decodeBatch(new byte[0]).isOk()).isFalse();
    }
}
