package org.mangoridge.gateway.exchange;

import java.time.Duration;
import java.util.function.Consumer;

import io.netty.util.concurrent.ScheduledFuture;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.verdict.Verdict;
import org.mangoridge.gateway.log.GuardedTask;

/**
 * Runs the steps of one request. If a step throws, which is a defect, it ends the request: its caller gets an answer, or
 * sees a response that has begun break off. Used on the event loop.
 */
final class RequestGuard {

    private final GatewayContext context;
    private final RequestScope scope;
    private Runnable abandonment = () -> {};
    private boolean failed;

    RequestGuard(GatewayContext context, RequestScope scope) {
        this.context = context;
        this.scope = scope;
    }

    /** Sets what ends the attempts and timers of the request after a step has thrown. */
    void onFailure(Runnable action) {
        abandonment = action;
    }

    void run(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            fail(e);
        }
    }

    /** Returns a step that is run by this guard. */
    Runnable guarded(Runnable step) {
        return () -> run(step);
    }

    /** Returns a step with an argument that is run by this guard. */
    <T> Consumer<T> guarded(Consumer<T> step) {
        return argument -> run(() -> step.accept(argument));
    }

    ScheduledFuture<?> schedule(Duration delay, Runnable step) {
        return context.schedule(delay, guarded(step));
    }

    /** Ends the request because one of its steps has thrown. */
    void fail(RuntimeException error) {
        GuardedTask.logError(
                context.log(),
                "request",
                error,
                Field.of("request", scope.caller().id()));
        if (failed) {
            return;
        }
        failed = true;
        GuardedTask.run(context.log(), "abandonment", abandonment);
        if (scope.sends() > 0) {
            // The step that failed may have been about to record what became of the request.
            scope.recordOutcome(Verdict.MAY_HAVE_RUN);
        }
        GuardedTask.run(context.log(), "refusal", scope::endAfterDefect);
    }
}
