package org.mangoridge.entry;

import java.util.List;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import org.mangoridge.core.id.Owner;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.entry.accounts.AccountLedger;
import org.mangoridge.entry.config.ConfigEndpoint;
import org.mangoridge.entry.config.ConfigFollower;
import org.mangoridge.entry.config.ConfigInForce;
import org.mangoridge.entry.lifecycle.DrainEndpoint;
import org.mangoridge.entry.lifecycle.DrainPhase;
import org.mangoridge.entry.metrics.PrometheusText;
import org.mangoridge.peer.membership.Member;
import org.mangoridge.peer.membership.MemberRecord;
import org.mangoridge.peer.membership.PeerView;
import org.mangoridge.routing.accounting.CallerUsage;
import org.mangoridge.settings.ini.Values;
import org.mangoridge.web.ErrorBody;
import org.mangoridge.web.WebHandler;
import org.mangoridge.web.WebReply;
import org.mangoridge.web.WebRequest;

/** Serves the HTTP endpoints for operators: state, metrics, peers, accounts, configuration and shutdown. */
final class OperatorEndpoint implements WebHandler {

    /**
     * The answer to {@code GET /status}.
     *
     * @param instance its name
     * @param incarnation its incarnation, greater after each restart
     * @param generation the generation of the configuration in force
     * @param hash the hash of the configuration text
     * @param ready whether the instance has adopted a configuration
     * @param source where the configuration came from, empty before the first
     * @param problem what currently prevents the adoption of a newer configuration, empty if nothing
     * @param peers the other live instances and the generation of each, as last reported to this one
     */
    record Status(
            String instance,
            long incarnation,
            long generation,
            String hash,
            boolean ready,
            String source,
            String problem,
            List<PeerStatus> peers) {}

    /**
     * The configuration of another instance.
     *
     * @param instance its name
     * @param generation the generation that it has in force
     */
    record PeerStatus(String instance, long generation) {}

    /**
     * The usage of one caller.
     *
     * @param caller the caller
     * @param served requests that were answered completely
     * @param refused requests that were refused or failed
     * @param abandoned requests whose caller disconnected before the end of the answer
     * @param promptTokens prompt tokens of served requests
     * @param outputTokens generated tokens
     */
    record Account(String caller, long served, long refused, long abandoned, long promptTokens, long outputTokens) {}

    /**
     * The answer to {@code GET /peers}: the membership view of this instance.
     *
     * @param isolated whether no peer answers although several were known
     * @param peers the other instances
     */
    record PeerList(boolean isolated, List<Peer> peers) {}

    /**
     * Another instance in the membership view.
     *
     * @param instance its name
     * @param incarnation its incarnation, greater after each restart
     * @param zone its availability zone
     * @param address the address that it listens on for peers
     * @param state the state that it announced itself
     * @param liveness whether this instance considers it alive, suspect or dead
     * @param generation the generation that it had in force according to its latest report
     */
    record Peer(
            String instance,
            long incarnation,
            String zone,
            String address,
            String state,
            String liveness,
            long generation) {}

    private final Owner owner;
    private final Supplier<ConfigInForce> config;
    private final MetricRegistry metrics;
    private final AccountLedger accounts;
    private final ConfigEndpoint configEndpoint;
    private final Supplier<ConfigFollower> follower;
    private final Supplier<PeerView> peers;
    private final Supplier<DrainPhase> phase;
    private final DrainEndpoint drain;

    OperatorEndpoint(
            Owner owner,
            Supplier<ConfigInForce> config,
            MetricRegistry metrics,
            AccountLedger accounts,
            ConfigEndpoint configEndpoint,
            Supplier<ConfigFollower> follower,
            Supplier<PeerView> peers,
            Supplier<DrainPhase> phase,
            DrainEndpoint drain) {
        this.phase = phase;
        this.drain = drain;
        this.owner = owner;
        this.config = config;
        this.metrics = metrics;
        this.accounts = accounts;
        this.configEndpoint = configEndpoint;
        this.follower = follower;
        this.peers = peers;
    }

    @Override
    public WebReply handle(WebRequest web) {
        if (ConfigEndpoint.serves(web.path())) {
            return configEndpoint.handle(web);
        }
        if (web.path().equals(DrainEndpoint.PATH)) {
            return drain.handle(web);
        }
        ConfigInForce inForce = config.get();
        return switch (web.method() + " " + web.path()) {
            case "GET /ready" -> ready(inForce);
            case "GET /metrics" -> WebReply.text(200, PrometheusText.of(metrics));
            case "GET /status" ->
                WebReply.json(
                        200,
                        new Status(
                                owner.instance().value(),
                                owner.incarnation().value(),
                                inForce.generation().value(),
                                inForce.hash(),
                                inForce.isAdopted(),
                                follower.get().source(),
                                follower.get().problem(),
                                peerStatus()));
            case "GET /peers" -> WebReply.json(200, peerList(peers.get()));
            case "GET /accounts" -> WebReply.json(200, accountList());
            case "GET /top" -> top(inForce, web);
            default -> WebReply.json(404, ErrorBody.of("not_found", "nothing is served at this method and path"));
        };
    }

    private WebReply ready(ConfigInForce inForce) {
        if (phase.get() != DrainPhase.SERVING) {
            return WebReply.text(503, "shutting down\n");
        }
        return inForce.isAdopted() ? WebReply.text(200, "ready\n") : WebReply.text(503, "no configuration yet\n");
    }

    private static PeerList peerList(PeerView view) {
        return new PeerList(
                view.isolated(),
                view.others().stream().map(OperatorEndpoint::peer).toList());
    }

    private static Peer peer(MemberRecord record) {
        Member member = record.member();
        return new Peer(
                member.id().value(),
                member.incarnation().value(),
                member.zone().value(),
                member.address().toString(),
                Values.choiceName(member.state()),
                Values.choiceName(record.liveness()),
                member.generation().value());
    }

    private List<PeerStatus> peerStatus() {
        return peers.get().others().stream()
                .filter(MemberRecord::isLive)
                .map(peer -> new PeerStatus(
                        peer.id().value(), peer.member().generation().value()))
                .toList();
    }

    private WebReply top(ConfigInForce inForce, WebRequest web) {
        return web.queryValue("server")
                .filter(name -> !name.isBlank())
                .flatMap(name -> inForce.deployment().server(ServerId.of(name)))
                .map(server -> WebReply.json(
                        200, accounts.topReport(server.id(), server.service()).join()))
                .orElseGet(() -> WebReply.json(
                        404, ErrorBody.of("unknown_server", "the configuration in force has no such server")));
    }

    private List<Account> accountList() {
        return accounts.callerUsages().join().stream()
                .map(OperatorEndpoint::account)
                .toList();
    }

    private static Account account(CallerUsage use) {
        return new Account(
                use.caller().value(),
                use.served(),
                use.refused(),
                use.abandoned(),
                use.promptTokens(),
                use.outputTokens());
    }
}
