package org.mangoridge.entry.config;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.mangoridge.config.spread.ConfigOffer;
import org.mangoridge.config.spread.ConfigPeers;
import org.mangoridge.core.Result;
import org.mangoridge.core.id.Generation;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.entry.peers.PeerNode;
import org.mangoridge.peer.membership.Member;
import org.mangoridge.peer.membership.PeerView;
import org.mangoridge.peer.membership.Rendezvous;
import org.mangoridge.peer.membership.Sighting;
import org.mangoridge.peer.rpc.PeerConfig;
import org.mangoridge.peer.rpc.PeerFailure;

/** Asks peers for their configuration over Thrift. */
public final class PeerConfigs implements ConfigPeers {

    private static final String RANK_KEY = "config";

    private final PeerNode node;
    private final RandomGenerator random;

    private PeerConfigs(PeerNode node, RandomGenerator random) {
        this.node = node;
        this.random = random;
    }

    /** Returns the peers that {@code node} knows; {@code random} must be safe for several threads. */
    public static PeerConfigs create(PeerNode node, RandomGenerator random) {
        return new PeerConfigs(node, random);
    }

    /** Returns what {@code follower} answers a peer that has {@code known}; nothing before it was started. */
    public static PeerConfig answer(ConfigFollower follower, Generation known) {
        if (follower == null) {
            return PeerConfig.nothingNewer(Generation.of(0));
        }
        Generation generation = follower.published().generation();
        Optional<PeerConfig.Content> content =
                follower.history().since(known).map(offer -> new PeerConfig.Content(offer.hash(), offer.text()));
        return new PeerConfig(generation, content);
    }

    @Override
    public View view() {
        PeerView view = node.view();
        List<Member> live = view.others().stream()
                .filter(Sighting::mayWork)
                .map(Sighting::member)
                .toList();
        List<PeerGeneration> generations = live.stream()
                .map(member -> new PeerGeneration(member.id(), member.generation()))
                .toList();
        List<InstanceId> zone = view.liveInZone().stream().map(Member::id).toList();
        return new View(
                Rendezvous.rank(RANK_KEY, zone),
                live.stream().map(Member::id).toList(),
                newest(view, live),
                generations);
    }

    @Override
    public Result<Answer, String> ask(InstanceId peer, Generation known) {
        Optional<Sighting> sighting = node.view().sighting(peer);
        if (sighting.isEmpty()) {
            return Result.err("the peer is not known any more");
        }
        return switch (node.config(sighting.get().member().address(), known)) {
            case Result.Ok<PeerConfig, PeerFailure> ok ->
                Result.ok(new Answer(
                        ok.value().generation(),
                        ok.value().content().map(content -> new ConfigOffer(content.hash(), content.text()))));
            case Result.Err<PeerConfig, PeerFailure> err ->
                Result.err(err.error().detail());
        };
    }

    /** Chooses one of those with the greatest generation at random, so that not all ask the same one. */
    private Optional<PeerGeneration> newest(PeerView view, List<Member> live) {
        Optional<Generation> greatest = live.stream().map(Member::generation).max(Comparator.naturalOrder());
        List<Member> ahead = live.stream()
                .filter(member -> member.generation().equals(greatest.orElse(null)))
                .toList();
        List<Member> near = ahead.stream()
                .filter(member -> member.zone().equals(view.self().zone()))
                .toList();
        List<Member> chosen = near.isEmpty() ? ahead : near;
        return chosen.isEmpty()
                ? Optional.empty()
                : Optional.of(chosen.get(random.nextInt(chosen.size())))
                        .map(member -> new PeerGeneration(member.id(), member.generation()));
    }
}
