package org.mangoridge.entry.orders;

import java.util.Optional;

import org.mangoridge.core.Result;
import org.mangoridge.http.Json;
import org.mangoridge.objects.ObjectKey;
import org.mangoridge.objects.ObjectStore;
import org.mangoridge.objects.StoreFailure;
import org.mangoridge.objects.StoredObject;
import org.mangoridge.orders.lease.LeaseAction;
import org.mangoridge.orders.lease.LeaseEvent;
import org.mangoridge.orders.lease.LeaseRecord;

/** Reads and writes one lease in the object store of the platform; calls block. */
final class LeaseStore {

    /** The object store names no eras: its interface has no restores. */
    private static final long NO_ERA = 0;

    private final ObjectStore store;
    private final ObjectKey key;

    LeaseStore(ObjectStore store, ObjectKey key) {
        this.store = store;
        this.key = key;
    }

    /** Executes an action and returns the event that reports its result. */
    LeaseEvent execute(LeaseAction action) {
        return switch (action) {
            case LeaseAction.ReadLease read -> read();
            case LeaseAction.WriteLease write ->
                new LeaseEvent.WriteFinished(store.write(key, Json.bytes(write.record()), write.condition()));
        };
    }

    private LeaseEvent read() {
        return switch (store.read(key)) {
            case Result.Err<Optional<StoredObject>, StoreFailure> err -> new LeaseEvent.ReadFailed();
            case Result.Ok<Optional<StoredObject>, StoreFailure> ok
            when ok.value().isEmpty() -> new LeaseEvent.LeaseRead(Optional.empty(), NO_ERA);
            case Result.Ok<Optional<StoredObject>, StoreFailure> ok ->
                decode(ok.value().get());
        };
    }

    private static LeaseEvent decode(StoredObject object) {
        Result<LeaseRecord, String> record = Json.read(object.value(), LeaseRecord.class);
        return record.isOk()
                ? new LeaseEvent.LeaseRead(
                        Optional.of(new LeaseEvent.StoredLease(record.value(), object.version())), NO_ERA)
                : new LeaseEvent.ReadFailed();
    }
}
