package org.mangoridge.gateway.gossip;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.gateway.balance.LoadShare;

import static com.google.common.truth.Truth.assertThat;

class LoadCodecTest {

    @Test
    void aReportSurvivesTheWay() {
        LoadReport report = new LoadReport(
                InstanceId.of("entry-1"),
                17,
                4,
                Map.of(ServerId.of("s-1"), new LoadShare(2, 3000, 9000)),
                List.of(new HostPort("10.0.0.1", 7000)),
                12,
                false);
        assertThat(LoadCodec.decode(LoadCodec.encode(report)).value()).isEqualTo(report);
    }

    @Test
    void whatIsNoReportIsRejected() {
        assertThat(LoadCodec.decode(new byte[] {1, 2, 3}).isOk()).isFalse();
        assertThat(LoadCodec.decode(new byte[0]).isOk()).isFalse();
    }
}
