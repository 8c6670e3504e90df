package org.mangoridge.bench;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import org.mangoridge.core.Result;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.entry.EntryInstance;
import org.mangoridge.http.HttpAnswer;
import org.mangoridge.http.HttpCall;
import org.mangoridge.http.HttpFailure;
import org.mangoridge.http.HttpTransport;

/** Gives requests in turn to the entry instances that were ready when last asked; safe for use by several threads. */
final class Balancer implements AutoCloseable {

    private static final Duration INTERVAL = Duration.ofMillis(200);
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final long FIRST_PAUSE_MILLIS = 20;
    private static final int FIRST_TRIES = 500;

    private final Supplier<List<EntryInstance>> instances;
    private final HttpTransport transport = HttpTransport.create(TIMEOUT);
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(
            Thread.ofVirtual().name("balancer").factory());
    private final AtomicLong turn = new AtomicLong();
    private volatile List<HostPort> ready = List.of();

    private Balancer(Supplier<List<EntryInstance>> instances) {
        this.instances = instances;
    }

    /**
     * Waits until all instances are ready and goes on asking them.
     *
     * @throws IllegalStateException if they don't become ready
     */
    static Balancer start(Supplier<List<EntryInstance>> instances) throws InterruptedException {
        Balancer balancer = new Balancer(instances);
        int all = instances.get().size();
        for (int attempt = 0; attempt < FIRST_TRIES && balancer.ready.size() < all; attempt++) {
            Thread.sleep(FIRST_PAUSE_MILLIS);
            balancer.askAll();
        }
        if (balancer.ready.size() < all) {
            balancer.close();
            throw new IllegalStateException("the entry instances don't become ready");
        }
        balancer.timer.scheduleWithFixedDelay(
                balancer::askAll, INTERVAL.toMillis(), INTERVAL.toMillis(), TimeUnit.MILLISECONDS);
        return balancer;
    }

    /** Returns the address for the next request. */
    HostPort next() {
        List<HostPort> candidates = ready;
        if (candidates.isEmpty()) {
            throw new IllegalStateException("no entry instance is ready");
        }
        return candidates.get((int) Math.floorMod(turn.getAndIncrement(), (long) candidates.size()));
    }

    @Override
    public void close() {
        timer.shutdownNow();
        transport.close();
    }

    private void askAll() {
        ready = instances.get().stream()
                .filter(this::isReady)
                .map(EntryInstance::callerAddress)
                .toList();
    }

    private boolean isReady(EntryInstance instance) {
        HttpCall call = HttpCall.get(instance.operatorAddress().httpUri("/ready"), TIMEOUT);
        Result<HttpAnswer, HttpFailure> answer = transport.send(call);
        return answer.isOk() && answer.value().isSuccess();
    }
}
