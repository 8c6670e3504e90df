package org.mangoridge.standin.platform;

import java.util.List;

import org.mangoridge.objects.ListedInstance;
import org.mangoridge.objects.StoredObject;
import org.mangoridge.objects.WatchBatch;
import org.mangoridge.objects.WatchChange;
import org.mangoridge.objects.http.PlatformMessages;

/** Turns what the store gives into the messages of the object API. */
final class PlatformMessageMapper {

    private PlatformMessageMapper() {}

    static PlatformMessages.ObjectMessage object(StoredObject object) {
        return new PlatformMessages.ObjectMessage(object.key().path(), object.version(), object.value());
    }

    static PlatformMessages.ObjectList list(List<StoredObject> objects) {
        return new PlatformMessages.ObjectList(
                objects.stream().map(PlatformMessageMapper::object).toList());
    }

    static PlatformMessages.Changes changes(WatchBatch batch) {
        return new PlatformMessages.Changes(
                batch.revision(),
                batch.complete(),
                batch.changes().stream().map(PlatformMessageMapper::change).toList());
    }

    static PlatformMessages.InstanceList instances(List<ListedInstance> instances) {
        return new PlatformMessages.InstanceList(instances.stream()
                .map(instance -> new PlatformMessages.InstanceMessage(
                        instance.id().value(),
                        instance.zone().value(),
                        instance.peerAddress().toString(),
                        instance.leaving()))
                .toList());
    }

    private static PlatformMessages.ObjectMessage change(WatchChange change) {
        return switch (change) {
            case WatchChange.Put put -> object(put.object());
            case WatchChange.Deleted deleted ->
                new PlatformMessages.ObjectMessage(deleted.key().path(), deleted.version(), null);
        };
    }
}
