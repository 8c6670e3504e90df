package org.mangoridge.gateway.stage;

import java.util.Optional;
import java.util.function.Consumer;

import org.mangoridge.core.Result;
import org.mangoridge.objects.Precondition;
import org.mangoridge.objects.WriteOutcome;
import org.mangoridge.orders.lease.LeaseEvent;
import org.mangoridge.orders.lease.LeaseRecord;

/** Access to the lease for stage orders in the platform's store; callbacks run on the event loop. */
public interface LeaseStore {

    /** Reads the lease; the answer is empty if there is none. */
    void read(Consumer<Result<Optional<LeaseEvent.StoredLease>, String>> answer);

    /** Writes the lease if {@code condition} holds. */
    void write(LeaseRecord record, Precondition condition, Consumer<WriteOutcome> answer);
}
