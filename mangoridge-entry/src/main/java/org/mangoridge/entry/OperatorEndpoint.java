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

/** Answers operators. */
final class OperatorEndpoint implements WebHandler {

    /**
     * The state of an instance.
     *
     * @param instance its name
     * @param incarnation its run
     * @param generation the configuration in force
     * @param hash the hash of its text
     * @param ready whether it takes requests
     * @param source where the configuration came from, empty before the first
     * @param problem what is wrong with a newer configuration or with following it, empty if nothing
     * @param peers what the other instances that may work have in force, as far as this one knows
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
     * What another instance has in force.
     *
     * @param instance its name
     * @param generation its generation
     */
    record PeerStatus(String instance, long generation) {}

    /**
     * What one caller's requests came to.
     *
     * @param caller the caller
     * @param served requests answered whole
     * @param refused requests refused
     * @param abandoned requests whose caller went
     * @param promptTokens prompt tokens of served requests
     * @param outputTokens tokens generated
     */
    record Account(String caller, long served, long refused, long abandoned, long promptTokens, long outputTokens) {}

    /**
     * The other instances as this one knows them.
     *
     * @param isolated whether no peer answers although several were known
     * @param peers one entry for each
     */
    record PeerList(boolean isolated, List<Peer> peers) {}

    /**
     * Another instance.
     *
     * @param instance its name
     * @param incarnation its run
     * @param zone its availability zone
     * @param address where peers connect
     * @param state its state as it tells it
     * @param liveness what is believed of it
     * @param generation the configuration that it had in force when last heard of
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
