package org.mangoridge.entry.plain;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import org.mangoridge.claims.store.TokenBucket;
import org.mangoridge.core.Result;
import org.mangoridge.core.event.EventLog;
import org.mangoridge.core.event.Field;
import org.mangoridge.core.event.LogEvent;
import org.mangoridge.core.id.AttemptId;
import org.mangoridge.core.verdict.Verdict;
import org.mangoridge.engine.EngineError;
import org.mangoridge.engine.plain.PlainCall;
import org.mangoridge.engine.plain.PlainService;
import org.mangoridge.http.Headers;
import org.mangoridge.http.HttpAnswer;
import org.mangoridge.settings.deployment.Server;
import org.mangoridge.settings.deployment.Service;
import org.mangoridge.web.WebRequest;

/** Sends a call to a randomly selected server and retries it at others when that can't cause a harmful second run. */
final class ServerCalls {

    private static final int MAX_ATTEMPTS = 3;
    private static final List<String> FORWARDED_HEADERS = List.of("Content-Type", "Accept", "Idempotency-Key");

    private final PlainService plain;
    private final RandomGenerator random;
    private final TokenBucket retries;

    ServerCalls(PlainService plain, RandomGenerator random, TokenBucket retries) {
        this.plain = plain;
        this.random = random;
        this.retries = retries;
    }

    /**
     * Sends a call and blocks until the complete answer or the last failure.
     *
     * <p>A call that is not idempotent is retried only if provably no byte of it reached a server.
     */
    Result<HttpAnswer, EngineError> send(
            AttemptId firstAttempt, Service service, List<Server> servers, PlainTarget target, WebRequest web) {
        boolean isIdempotent = service.isIdempotent(web.method(), target.path());
        List<Server> untried = new ArrayList<>(servers);
        AttemptId attempt = firstAttempt;
        while (true) {
            Server server = untried.remove(random.nextInt(untried.size()));
            Result<HttpAnswer, EngineError> answer = plain.call(new PlainCall(
                    attempt,
                    server.address(),
                    web.method(),
                    target.pathAndQuery(),
                    forwardedHeaders(web.headers()),
                    web.body(),
                    service.timeout()));
            if (answer.isOk()) {
                return answer;
            }
            EventLog.write(
                    LogEvent.ATTEMPT_FAILED,
                    Field.of("attempt", attempt),
                    Field.of("server", server.id()),
                    Field.of("detail", answer.error().detail()));
            boolean canResend = isIdempotent || answer.error().verdict() == Verdict.NOT_RUN;
            boolean attemptsLeft = !untried.isEmpty() && attempt.number() < MAX_ATTEMPTS;
            if (!canResend || !attemptsLeft || retries.take(1).isPresent()) {
                return answer;
            }
            attempt = attempt.next();
        }
    }

    private static Headers forwardedHeaders(Headers headers) {
        Map<String, String> forwarded = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String name : FORWARDED_HEADERS) {
            headers.value(name).ifPresent(value -> forwarded.put(name, value));
        }
        return Headers.copyOf(forwarded);
    }
}
