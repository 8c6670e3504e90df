package org.mangoridge.gateway.exchange;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import org.mangoridge.core.time.Clock;
import org.mangoridge.dispatch.balance.DrainAdmission;
import org.mangoridge.dispatch.balance.EngineBalancer;
import org.mangoridge.dispatch.balance.LoadTracker;
import org.mangoridge.dispatch.balance.PlainBalancer;
import org.mangoridge.dispatch.balance.PrefillTimeEstimator;
import org.mangoridge.dispatch.balance.RetryBudget;
import org.mangoridge.dispatch.balance.ServerHealthTracker;
import org.mangoridge.dispatch.balance.ServerPace;
import org.mangoridge.dispatch.directory.ServerDirectory;
import org.mangoridge.dispatch.limit.ServerRateLimiter;
import org.mangoridge.dispatch.quota.FleetQuotas;
import org.mangoridge.gateway.log.EventSink;
import org.mangoridge.gateway.log.GuardedTask;
import org.mangoridge.gateway.net.BufferMemory;

/**
 * The components that all requests of an instance share; used on its event loop.
 *
 * @param loop the event loop
 * @param clock the clock
 * @param random the random source
 * @param dialect translates between HTTP messages and requests or responses
 * @param calls makes calls to servers
 * @param limiter keeps the rates that servers announce
 * @param quotas keeps the quotas of workspaces
 * @param buffers bounds the memory of all buffers that servers and callers fill
 * @param directory the known servers
 * @param loads the load of each server
 * @param serverHealth the recent results of each server
 * @param serverPace paces servers that started or recovered
 * @param prefillTimes estimates the prefill time at each server
 * @param retryBudget limits the share of requests that are retries
 * @param plainBalancer chooses servers of plain services
 * @param engineBalancer chooses servers of model services
 * @param crashGuard keeps requests that crash servers away from them
 * @param admission decides which requests are taken while the instance shuts down
 * @param metrics counters and histograms
 * @param log the event log
 */
public record GatewayContext(
        EventLoop loop,
        Clock clock,
        RandomGenerator random,
        WireDialect dialect,
        ServerCalls calls,
        ServerRateLimiter limiter,
        FleetQuotas quotas,
        BufferMemory buffers,
        ServerDirectory directory,
        LoadTracker loads,
        ServerHealthTracker serverHealth,
        ServerPace serverPace,
        PrefillTimeEstimator prefillTimes,
        RetryBudget retryBudget,
        PlainBalancer plainBalancer,
        EngineBalancer engineBalancer,
        CrashGuard crashGuard,
        DrainAdmission admission,
        GatewayMetrics metrics,
        EventSink log) {

    /** Returns the current monotonic time. */
    public Duration now() {
        return clock.elapsed();
    }

    /** Runs a task on the event loop after a delay, at once if the delay is negative; logs an exception of the task. */
    ScheduledFuture<?> schedule(Duration delay, Runnable task) {
        return loop.schedule(GuardedTask.of(log, "timer", task), Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS);
    }

    /** Returns the number of known instances, including this one. */
    int instanceCount() {
        return loads.peerCount() + 1;
    }
}
