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

/** Reads configurations from other instances by RPC; safe for use by several threads. */
public final class RpcConfigPeers implements ConfigPeers {

    private static final String RANKING_KEY = "config";

    private final Supplier<PeerNode> node;

    private RpcConfigPeers(Supplier<PeerNode> node) {
        this.node = node;
    }

    /** Returns access to the peers in the membership view of {@code node}. */
    public static RpcConfigPeers of(Supplier<PeerNode> node) {
        return new RpcConfigPeers(node);
    }

    /** Returns the answer to a peer whose configuration has the generation {@code known}. */
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
                RANKING_KEY, view.liveInZone().stream().map(Member::id).toList());
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
                node.get().fetchConfig(record.get().member().address(), known);
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
