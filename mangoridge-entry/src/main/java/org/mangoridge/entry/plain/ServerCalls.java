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

/** Sends a call to a server and, where that can't run it twice, to another. */
final class ServerCalls {

    private static final int MAX_SERVERS_TRIED = 3;
    private static final List<String> PASSED_HEADERS = List.of("Content-Type", "Accept", "Idempotency-Key");

    private final PlainService plain;
    private final RandomGenerator random;
    private final TokenBucket retries;

    ServerCalls(PlainService plain, RandomGenerator random, TokenBucket retries) {
        this.plain = plain;
        this.random = random;
        this.retries = retries;
    }

    /**
     * Sends a call and waits for the whole answer.
     *
     * <p>A call that may not be repeated goes to another server only while it provably reached none.
     */
    Result<HttpAnswer, EngineError> send(
            AttemptId first, Service service, List<Server> servers, PlainTarget target, WebRequest web) {
        boolean isIdempotent = service.isIdempotent(web.method(), target.path());
        List<Server> left = new ArrayList<>(servers);
        AttemptId attempt = first;
        while (true) {
            Server server = left.remove(random.nextInt(left.size()));
            Result<HttpAnswer, EngineError> answer = plain.call(new PlainCall(
                    attempt,
                    server.address(),
                    web.method(),
                    target.pathAndQuery(),
                    passedHeaders(web.headers()),
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
            boolean harmless = isIdempotent || answer.error().verdict() == Verdict.NOT_RUN;
            boolean triesLeft = !left.isEmpty() && attempt.number() < MAX_SERVERS_TRIED;
            if (!harmless || !triesLeft || retries.take(1).isPresent()) {
                return answer;
            }
            attempt = attempt.next();
        }
    }

    private static Headers passedHeaders(Headers headers) {
        Map<String, String> passed = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String name : PASSED_HEADERS) {
            headers.value(name).ifPresent(value -> passed.put(name, value));
        }
        return Headers.copyOf(passed);
    }
}
