package org.mangoridge.cli;

import java.util.Random;

import org.junit.jupiter.api.Test;
import org.mangoridge.config.audit.AuditEntry;
import org.mangoridge.config.audit.AuditKind;
import org.mangoridge.config.audit.AuditLog;
import org.mangoridge.config.audit.AuditTrail;
import org.mangoridge.core.id.Incarnation;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.id.Owner;
import org.mangoridge.core.time.VirtualClock;
import org.mangoridge.entry.lifecycle.DrainAudit;
import org.mangoridge.standin.platform.InMemoryObjectStore;

import static com.google.common.truth.Truth.assertThat;

class DrainAuditTest {

    @Test
    void theTrailNamesWhoAskedForAShutdown() {
        InMemoryObjectStore store = InMemoryObjectStore.create();
        Owner owner = new Owner(InstanceId.of("entry-1"), Incarnation.of(5));
        AuditLog log = AuditLog.create(store, "zone-a", new Random(1));
        DrainAudit.create(log, owner, VirtualClock.create(), Runnable::run).asked("morag");
        AuditTrail trail = AuditTrail.read(store, "zone-a").value();
        assertThat(trail.problems()).isEmpty();
        AuditEntry entry = trail.entries().get(0).entry();
        assertThat(entry.kind()).isEqualTo(AuditKind.DRAIN);
        assertThat(entry.who()).isEqualTo("morag");
        assertThat(entry.subject()).isEqualTo("entry-1/5");
    }
}
