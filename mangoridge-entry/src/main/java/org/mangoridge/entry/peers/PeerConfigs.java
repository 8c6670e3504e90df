package org.mangoridge.entry.peers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

import org.mangoridge.config.distribution.ConfigHistory;
import org.mangoridge.config.distribution.ConfigOffer;
import org.mangoridge.config.distribution.ConfigPeers;
import org.mangoridge.core.Result;
import org.mangoridge.core.id.Generation;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.peer.membership.Member;
import org.mangoridge.peer.membership.MemberRecord;
import org.mangoridge.peer.membership.PeerView;
import org.mangoridge.peer.membership.Rendezvous;
import org.mangoridge.peer.rpc.PeerConfig;
import org.mangoridge.peer.rpc.PeerFailure;

/** Follows the configuration through the other instances; safe for use by several threads. */
public final class PeerConfigs implements ConfigPeers {

    private static final String RANKING = "config";

    private final Supplier<PeerNode> node;

    private PeerConfigs(Supplier<PeerNode> node) {
        this.node = node;
    }

    /** Returns the peers that {@code node} knows. */
    public static PeerConfigs of(Supplier<PeerNode> node) {
        return new PeerConfigs(node);
    }

    /** Returns what this instance answers a peer that has {@code known}. */
    public static PeerConfig answer(ConfigHistory history, Generation known) {
        Optional<ConfigOffer> offer = history.offerSince(known);
        return new PeerConfig(
                history.current().generation(),
                offer.map(config -> new PeerConfig.Content(config.hash(), config.text())));
    }

    @Override
    public View view() {
        PeerView view = node.get().view();
        List<InstanceId> zone = Rendezvous.rank(
                RANKING, view.liveInZone().stream().map(Member::id).toList());
        List<InstanceId> others = new ArrayList<>();
        List<PeerGeneration> generations = new ArrayList<>();
        for (MemberRecord record : view.others()) {
            if (record.isLive()) {
                others.add(record.id());
                generations.add(new PeerGeneration(record.id(), record.member().generation()));
            }
        }
        Optional<PeerGeneration> newest = generations.stream().max(Comparator.comparing(PeerGeneration::generation));
        return new View(zone, others, newest, generations);
    }

    @Override
    public Result<Answer, String> ask(InstanceId peer, Generation known) {
        Optional<MemberRecord> record = node.get().view().find(peer);
        if (record.isEmpty()) {
            return Result.err("the peer is no longer known");
        }
        Result<PeerConfig, PeerFailure> answer =
                node.get().config(record.get().member().address(), known);
        return switch (answer) {
            case Result.Err<PeerConfig, PeerFailure> err ->
                Result.err(err.error().toString());
            case Result.Ok<PeerConfig, PeerFailure> ok ->
                Result.ok(new Answer(
                        ok.value().generation(),
                        ok.value().content().map(content -> new ConfigOffer(content.hash(), content.text()))));
        };
    }
}
