package org.mangoridge.entry.reply;

import java.util.concurrent.atomic.AtomicLong;

import org.mangoridge.core.id.Owner;
import org.mangoridge.core.id.RequestId;

/** Numbers the requests of one run of an instance; safe for use by several threads. */
public final class RequestIdGenerator {

    private final String prefix;
    private final AtomicLong last = new AtomicLong();

    private RequestIdGenerator(String prefix) {
        this.prefix = prefix;
    }

    /** Returns ids that no other run of any instance gives. */
    public static RequestIdGenerator of(Owner owner) {
        return new RequestIdGenerator(owner.instance() + "-" + owner.incarnation() + "-");
    }

    /** Returns the next id. */
    public RequestId next() {
        return RequestId.of(prefix + last.incrementAndGet());
    }
}
