package org.mangoridge.gateway.exchange;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import org.mangoridge.core.time.Clock;
import org.mangoridge.gateway.balance.EngineBalancer;
import org.mangoridge.gateway.balance.LoadTracker;
import org.mangoridge.gateway.balance.PlainBalancer;
import org.mangoridge.gateway.balance.PrefillTimeEstimator;
import org.mangoridge.gateway.balance.RetryBudget;
import org.mangoridge.gateway.balance.ServerHealthTracker;
import org.mangoridge.gateway.directory.ServerDirectory;
import org.mangoridge.gateway.log.EventSink;
import org.mangoridge.gateway.net.UpstreamPool;
import org.mangoridge.gateway.request.WireDialect;

/**
 * What every request of an instance shares; used on its event loop.
 *
 * @param loop the event loop
 * @param clock the clock
 * @param random the random source
 * @param dialect how requests and answers are spelled
 * @param pool connections to servers
 * @param directory the servers that there are
 * @param loads their load
 * @param tracks their answers so far
 * @param pace how fast engines read prompts
 * @param budget bounds requests that are sent once more
 * @param plain chooses servers of plain services
 * @param engines chooses servers of model services
 * @param metrics counters and histograms
 * @param log the log
 */
public record GatewayContext(
        EventLoop loop,
        Clock clock,
        RandomGenerator random,
        WireDialect dialect,
        UpstreamPool pool,
        ServerDirectory directory,
        LoadTracker loads,
        ServerHealthTracker tracks,
        PrefillTimeEstimator pace,
        RetryBudget budget,
        PlainBalancer plain,
        EngineBalancer engines,
        GatewayMetrics metrics,
        EventSink log) {

    /** Returns the monotonic time. */
    public Duration now() {
        return clock.elapsed();
    }

    ScheduledFuture<?> after(Duration delay, Runnable task) {
        return loop.schedule(task, Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS);
    }

    /** Returns the number of instances that are known, this one included. */
    int instances() {
        return loads.peerCount() + 1;
    }
}
