package org.mangoridge.routing.accounting;

import java.time.Duration;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.id.CallerClassId;
import org.mangoridge.core.id.CallerId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.verdict.RefusalReason;

import static com.google.common.truth.Truth.assertThat;

class ServerAccountsTest {

    private static final ServerId SERVER = ServerId.of("d-1");
    private static final ServiceId SERVICE = ServiceId.of("drafts");

    private static UsageKey key(String caller) {
        return new UsageKey(CallerId.of(caller), CallerClassId.of("tender"), SERVICE);
    }

    @Test
    void heldAndReleasedSlotsAreAccountedToTheirCaller() {
        ServerAccounts accounts = ServerAccounts.create();
        accounts.slotHeld(AttemptId.parse("r-1.1"), SERVER, key("one"), 3, Duration.ZERO);
        accounts.slotHeld(AttemptId.parse("r-2.1"), SERVER, key("two"), 1, Duration.ZERO);
        accounts.prefilled(ServerId.of("p-1"), key("one"), 500, Duration.ZERO);
        accounts.transferred(SERVER, key("one"), 7000, Duration.ZERO);
        Duration later = Duration.ofSeconds(4);
        accounts.slotReleased(AttemptId.parse("r-1.1"), later);
        accounts.slotReleased(AttemptId.parse("r-1.1"), later);
        List<ServerAccounts.Line> lines =
                accounts.report(SERVER, Duration.ofSeconds(5)).lines();
        assertThat(lines.get(0))
                .isEqualTo(new ServerAccounts.Line(key("two"), new ServerUsage(5000, 5000, 0, 0), 1, 0));
        assertThat(lines.get(1))
                .isEqualTo(new ServerAccounts.Line(key("one"), new ServerUsage(4000, 12_000, 0, 7000), 0, 0));
    }

    @Test
    void expiredIntervalsAreRemoved() {
        ServerAccounts accounts = ServerAccounts.create();
        accounts.prefilled(SERVER, key("one"), 500, Duration.ZERO);
        assertThat(accounts.report(SERVER, Duration.ofMinutes(4)).lines()).hasSize(1);
        assertThat(accounts.report(SERVER, Duration.ofMinutes(5)).lines()).isEmpty();
    }

    @Test
    void manyCallersStayBoundedWithAStatedError() {
        ServerAccounts accounts = ServerAccounts.create();
        for (int caller = 0; caller < 2800; caller++) {
            accounts.prefilled(SERVER, key("caller-" + caller), 2000, Duration.ZERO);
        }
        for (int i = 0; i < 200; i++) {
            accounts.prefilled(SERVER, key("heavy"), 20_000, Duration.ZERO);
        }
        ServerAccounts.Report report = accounts.report(SERVER, Duration.ZERO);
        assertThat(report.lines().size()).isAtMost(32);
        assertThat(report.lines().get(0).key()).isEqualTo(key("heavy"));
        assertThat(report.maxUnlistedWeight()).isGreaterThan(0L);
    }

    @Test
    void refusalsAreCountedByCallerAndReason() {
        RefusalAccounts accounts = RefusalAccounts.create();
        accounts.recordRefusal(key("one"), RefusalReason.CALLER_SHARE, Duration.ZERO);
        accounts.recordRefusal(key("one"), RefusalReason.CALLER_SHARE, Duration.ZERO);
        accounts.recordRefusal(key("two"), RefusalReason.NO_CAPACITY, Duration.ZERO);
        List<RefusalAccounts.Line> lines = accounts.report(SERVICE, Duration.ZERO);
        assertThat(lines).hasSize(2);
        assertThat(lines.get(0))
                .isEqualTo(new RefusalAccounts.Line(
                        new RefusalAccounts.Refused(key("one"), RefusalReason.CALLER_SHARE), 2, 0));
    }
}
