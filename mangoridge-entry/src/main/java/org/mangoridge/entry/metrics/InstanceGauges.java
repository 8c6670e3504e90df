package org.mangoridge.entry.metrics;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.function.LongSupplier;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;

/** Registers the gauges of an instance in a metric registry. */
public final class InstanceGauges {

    private static final double NANOS_PER_SECOND = Duration.ofSeconds(1).toNanos();

    private final MetricRegistry registry;

    private InstanceGauges(MetricRegistry registry) {
        this.registry = registry;
    }

    /** Returns an object that registers gauges in {@code registry}. */
    public static InstanceGauges of(MetricRegistry registry) {
        return new InstanceGauges(registry);
    }

    /** Registers the CPU time of the process and of the control thread, in seconds, and the used heap, in bytes. */
    public InstanceGauges registerResourceUsage(Thread controlThread) {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        gauge("control.cpu.seconds", () -> threads.getThreadCpuTime(controlThread.threadId()) / NANOS_PER_SECOND);
        gauge("process.cpu.seconds", InstanceGauges::processCpuSeconds);
        gauge(
                "process.heap.bytes",
                () -> ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
        return this;
    }

    /** Registers a gauge that reads {@code value} each time it is queried. */
    public InstanceGauges register(String name, LongSupplier value) {
        gauge(name, value::getAsLong);
        return this;
    }

    private static double processCpuSeconds() {
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
