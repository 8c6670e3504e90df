package org.mangoridge.entry.metrics;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.function.LongSupplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

/** Gauges of what an instance costs and sees. */
public final class InstanceGauges {

    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private final MetricRegistry registry;

    private InstanceGauges(MetricRegistry registry) {
        this.registry = registry;
    }

    /** Returns gauges that are registered in {@code registry}. */
    public static InstanceGauges of(MetricRegistry registry) {
        return new InstanceGauges(registry);
    }

    /** Registers processor time and heap of the process, and processor time of the control thread, in seconds. */
    public InstanceGauges registerResourceUsage(Thread controlThread) {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        gauge("control.cpu.seconds", () -> threads.getThreadCpuTime(controlThread.threadId()) / NANOS_PER_SECOND);
        gauge("process.cpu.seconds", InstanceGauges::processSeconds);
        gauge(
                "process.heap.bytes",
                () -> ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
        return this;
    }

    /** Registers a number that is read when it is asked for. */
    public InstanceGauges register(String name, LongSupplier value) {
        gauge(name, value::getAsLong);
        return this;
    }

    private static double processSeconds() {
        return ProcessHandle.current()
                        .info()
                        .totalCpuDuration()
                        .orElse(Duration.ZERO)
                        .toNanos()
                / NANOS_PER_SECOND;
    }

    private void gauge(String name, Gauge<Number> gauge) {
        registry.gauge(name, () -> gauge);
    }
}
