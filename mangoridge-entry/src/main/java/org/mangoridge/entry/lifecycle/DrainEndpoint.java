package org.mangoridge.entry.lifecycle;

import java.util.Optional;

import org.mangoridge.entry.auth.OperatorAuthenticator;
import org.mangoridge.settings.ini.Values;
import org.mangoridge.web.ErrorBody;
import org.mangoridge.web.WebReply;
import org.mangoridge.web.WebRequest;

/** Serves the HTTP endpoint by which operators request a shutdown and query its progress. */
public final class DrainEndpoint {

    /** The path of the endpoint: POST requests a shutdown, other methods return its progress. */
    public static final String PATH = "/drain";

    /**
     * The progress of a shutdown.
     *
     * @param phase the current phase, in lower case
     * @param openRequests the number of requests in progress
     */
    public record Progress(String phase, int openRequests) {}

    private final Drain drain;
    private final OperatorAuthenticator operators;
    private final DrainAudit audit;

    private DrainEndpoint(Drain drain, OperatorAuthenticator operators, DrainAudit audit) {
        this.drain = drain;
        this.operators = operators;
        this.audit = audit;
    }

    /** Returns an endpoint for the given operators. */
    public static DrainEndpoint create(Drain drain, OperatorAuthenticator operators, DrainAudit audit) {
        return new DrainEndpoint(drain, operators, audit);
    }

    /** Answers a request to {@link #PATH}. */
    public WebReply handle(WebRequest web) {
        if (web.method().equals("POST")) {
            Optional<String> operator = operators.authenticate(web.headers());
            if (operator.isEmpty()) {
                return WebReply.json(
                        401,
                        ErrorBody.of(
                                "bad_token", "the operator token is missing or unknown; expected Bearer NAME.SECRET"));
            }
            audit.recordRequest(operator.get());
            drain.request(operator.get());
            return WebReply.json(202, progress());
        }
        return WebReply.json(200, progress());
    }

    private Progress progress() {
        return new Progress(Values.choiceName(drain.phase()), drain.openRequests());
    }
}
