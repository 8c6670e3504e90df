package org.mangoridge.standin.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/** Simulates a worker that runs one job at a time, by descending priority, then in order of submission. */
final class SerialWorker {

    private static final Comparator<Job> EXECUTION_ORDER =
            Comparator.comparingInt((Job job) -> -job.priority).thenComparingLong(job -> job.sequence);

    enum State {
        WAITING,
        RUNNING,
        DONE,
        CANCELLED
    }

    /** A unit of work for one attempt. */
    static final class Job {

        private final String attempt;
        private final int tokens;
        private final int priority;
        private final long sequence;
        private final Function<Job, Duration> cost;
        private State state = State.WAITING;
        private Duration startedAt;
        private Duration finishAt;

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

        boolean isFinished() {
            return state == State.DONE || state == State.CANCELLED;
        }

        /** Returns the progress of a running job, from 0 to 1. */
        double progress(Duration now) {
            long total = finishAt.minus(startedAt).toNanos();
            return total <= 0 ? 1 : Math.clamp((double) now.minus(startedAt).toNanos() / total, 0, 1);
        }
    }

    private final List<Job> waiting = new ArrayList<>();
    private Job running;
    private long lastSequence;
    private Duration pausedSince;

    /** Adds a job whose duration is computed by {@code cost} when it starts. */
    Job submit(String attempt, int tokens, int priority, Function<Job, Duration> cost, Duration now) {
        advance(now);
        Job job = new Job(attempt, tokens, priority, ++lastSequence, cost);
        waiting.add(job);
        startNext(now);
        return job;
    }

    /** Completes the jobs that end by {@code now} and starts the next ones. */
    void advance(Duration now) {
        while (pausedSince == null && running != null && running.finishAt.compareTo(now) <= 0) {
            Duration at = running.finishAt;
            running.state = State.DONE;
            running = null;
            startNext(at);
        }
    }

    /** Cancels a job unless it has ended. */
    void cancel(Job job, Duration now) {
        advance(now);
        if (job.isFinished()) {
            return;
        }
        job.state = State.CANCELLED;
        waiting.remove(job);
        if (running == job) {
            running = null;
            startNext(now);
        }
    }

    /** Pauses or resumes all work; paused time does not count towards a job's duration. */
    void pause(boolean paused, Duration now) {
        if (paused && pausedSince == null) {
            advance(now);
            pausedSince = now;
        } else if (!paused && pausedSince != null) {
            if (running != null) {
                Duration pausedFor = now.minus(pausedSince);
                running.startedAt = running.startedAt.plus(pausedFor);
                running.finishAt = running.finishAt.plus(pausedFor);
            }
            pausedSince = null;
            startNext(now);
        }
    }

    /** Returns when the running job completes; empty if none runs or work is paused. */
    Optional<Duration> nextCompletion() {
        return running == null || pausedSince != null ? Optional.empty() : Optional.of(running.finishAt);
    }

    boolean isBusy() {
        return running != null;
    }

    /** Returns the tokens of the waiting jobs plus those remaining of the running one. */
    long queuedTokens(Duration now) {
        long queued = waiting.stream().mapToLong(Job::tokens).sum();
        return running == null ? queued : queued + Math.round(running.tokens * (1 - running.progress(now)));
    }

    private void startNext(Duration now) {
        if (running != null || pausedSince != null || waiting.isEmpty()) {
            return;
        }
        running = waiting.stream().min(EXECUTION_ORDER).orElseThrow();
        waiting.remove(running);
        running.state = State.RUNNING;
        running.startedAt = now;
        running.finishAt = now.plus(running.cost.apply(running));
    }
}
