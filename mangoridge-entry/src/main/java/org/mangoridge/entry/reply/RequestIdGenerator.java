package org.mangoridge.entry.reply;

import java.util.concurrent.atomic.AtomicLong;

import org.mangoridge.core.id.Owner;
import org.mangoridge.core.id.RequestId;

/** Generates the ids of the requests of one incarnation of an instance; thread-safe. */
public final class RequestIdGenerator {

    private final String prefix;
    private final AtomicLong lastNumber = new AtomicLong();

    private RequestIdGenerator(String prefix) {
        this.prefix = prefix;
    }

    /** Returns a generator of ids that are unique across instances and their incarnations. */
    public static RequestIdGenerator of(Owner owner) {
        return new RequestIdGenerator(owner.instance() + "-" + owner.incarnation() + "-");
    }

    /** Returns the next id. */
    public RequestId next() {
        return RequestId.of(prefix + lastNumber.incrementAndGet());
    }
}
