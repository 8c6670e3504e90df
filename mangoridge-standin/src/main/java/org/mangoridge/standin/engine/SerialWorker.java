package org.mangoridge.standin.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/** Works on one job at a time, of those that wait the one of the greatest priority, then the oldest. */
final class SerialWorker {

    private static final Comparator<Job> ORDER =
            Comparator.comparingInt((Job job) -> -job.priority).thenComparingLong(job -> job.sequence);

    enum State {
        WAITING,
        RUNNING,
        DONE,
        CANCELLED
    }

    /** A piece of work of one attempt. */
    static final class Job {

        private final String attempt;
        private final int tokens;
        private final int priority;
        private final long sequence;
        private final Function<Job, Duration> cost;
        private State state = State.WAITING;
        private Duration started;
        private Duration finish;

        private Job(String attempt, int tokens, int priority, long sequence, Function<Job, Duration> cost) {
            this.attempt = attempt;
            this.tokens = tokens;
            this.priority = priority;
            this.sequence = sequence;
            this.cost = cost;
        }

        String attempt() {
            return attempt;
        }

        int tokens() {
            return tokens;
        }

        State state() {
            return state;
        }

        boolean isOver() {
            return state == State.DONE || state == State.CANCELLED;
        }

        /** Returns the share of a running job that is done, from 0 to 1. */
        double share(Duration now) {
            long whole = finish.minus(started).toNanos();
            return whole <= 0 ? 1 : Math.clamp((double) now.minus(started).toNanos() / whole, 0, 1);
        }
    }

    private final List<Job> waiting = new ArrayList<>();
    private Job running;
    private long lastSequence;
    private Duration frozenSince;

    /** Adds a job whose {@code cost} is asked for when it starts. */
    Job submit(String attempt, int tokens, int priority, Function<Job, Duration> cost, Duration now) {
        advance(now);
        Job job = new Job(attempt, tokens, priority, ++lastSequence, cost);
        waiting.add(job);
        startNext(now);
        return job;
    }

    /** Finishes what is done by {@code now} and starts what follows. */
    void advance(Duration now) {
        while (frozenSince == null && running != null && running.finish.compareTo(now) <= 0) {
            Duration at = running.finish;
            running.state = State.DONE;
            running = null;
            startNext(at);
        }
    }

    /** Ends a job before it is done. */
    void cancel(Job job, Duration now) {
        advance(now);
        if (job.isOver()) {
            return;
        }
        job.state = State.CANCELLED;
        waiting.remove(job);
        if (running == job) {
            running = null;
            startNext(now);
        }
    }

    /** Stops or resumes all work; the time in between does not count. */
    void pause(boolean frozen, Duration now) {
        if (frozen && frozenSince == null) {
            advance(now);
            frozenSince = now;
        } else if (!frozen && frozenSince != null) {
            if (running != null) {
                Duration pause = now.minus(frozenSince);
                running.started = running.started.plus(pause);
                running.finish = running.finish.plus(pause);
            }
            frozenSince = null;
            startNext(now);
        }
    }

    /** Returns when the running job will be done, if there is one that makes progress. */
    Optional<Duration> nextCompletion() {
        return running == null || frozenSince != null ? Optional.empty() : Optional.of(running.finish);
    }

    boolean isBusy() {
        return running != null;
    }

    /** Returns the tokens of the jobs that wait and of the rest of the running one. */
    long queuedTokens(Duration now) {
        long queued = waiting.stream().mapToLong(Job::tokens).sum();
        return running == null ? queued : queued + Math.round(running.tokens * (1 - running.share(now)));
    }

    private void startNext(Duration now) {
        if (running != null || frozenSince != null || waiting.isEmpty()) {
            return;
        }
        running = waiting.stream().min(ORDER).orElseThrow();
        waiting.remove(running);
        running.state = State.RUNNING;
        running.started = now;
        running.finish = now.plus(running.cost.apply(running));
    }
}
