package org.mangoridge.dispatch.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.mangoridge.dispatch.directory.ServerRun;
import org.mangoridge.dispatch.request.RequestPart;

/**
 * Finds the requests and the parts of prompts that crash servers and keeps them from servers; does no I/O, confined to
 * one thread.
 *
 * <p>The fingerprint of a request counts as the deepest part of its prompt, and as the only one if it has no prompt. A
 * crash implicates all requests that the server was about to answer, and a server may crash for other reasons. A part is
 * quarantined if it explains {@link #MIN_CRASHES} crashes that no other quarantined part explains, and outweighs the
 * sound answers to requests with it. Where parts always occur together the deepest is taken, so that requests that share
 * only the others go on; if one of those crashes servers too, it gains evidence that the deepest lacks.
 *
 * <p>Instances exchange their evidence. Merging is commutative and idempotent, so that it may arrive in any order, more
 * than once, or through others, also after a restart of the one that observed it.
 */
public final class RequestQuarantine {

    /** Crashes that a part must explain; fewer can be a coincidence. */
    static final int MIN_CRASHES = 3;
    /** How long a crash counts; afterwards a part has to crash servers again to be quarantined. */
    static final Duration RETENTION = Duration.ofMinutes(10);
    /** Crashes to which one sound answer is equivalent. */
    private static final double SOUND_ANSWER_WEIGHT = 2;
    /** Half-life of sound answers; a part that was sound may have become unsafe with new software of the servers. */
    private static final Duration SOUND_HALF_LIFE = Duration.ofSeconds(60);

    /** Crashes that are remembered; those that a quarantined part explains are dropped last, recurring ones before. */
    private static final int MAX_CRASHES = 64;

    /** Parts and fingerprints that a crash implicates at most, so that it fits into a datagram. */
    private static final int MAX_PARTS_PER_CRASH = 48;
    /** Parts whose sound answers are remembered; the least recently used are dropped first. */
    private static final int MAX_SOUND_PARTS = 4096;

    private final Map<ServerRun, Crash> crashes = new HashMap<>();
    private final Map<RequestPart, SoundAnswers> soundAnswers = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<RequestPart, SoundAnswers> eldest) {
            return size() > MAX_SOUND_PARTS;
        }
    };

    private Set<RequestPart> quarantined = Set.of();
    /** The outlines of the requests that a crash implicates. */
    private Set<String> suspectOutlines = Set.of();

    private record Crash(ServerRun run, Duration at, Set<RequestParts> requests) {

        boolean implicates(RequestPart part) {
            return requests.stream().anyMatch(request -> request.contains(part));
        }
    }

    /**
     * A part and the case against it.
     *
     * @param support the number of crashes that the part explains better than the parts after it do
     * @param depth the largest number of parts before it in a request
     */
    private record Suspect(RequestPart part, long support, int depth) {

        /**
         * Weighs a part; crashes under the same deeper parts count once, since those are more likely the cause.
         *
         * @param sound the parts that servers answer, and which are not the cause therefore
         * @param likely the parts with enough crashes to be the cause by themselves; those under a deeper one don't count
         */
        static Suspect of(RequestPart part, List<Crash> crashes, Set<RequestPart> sound, Set<RequestPart> likely) {
            long crashesAsDeepest = 0;
            Set<Set<RequestPart>> contexts = new HashSet<>();
            int depth = 0;
            for (Crash crash : crashes) {
                Set<RequestPart> context = new HashSet<>();
                boolean deepest = false;
                for (RequestParts request : crash.requests()) {
                    if (request.contains(part)) {
                        depth = Math.max(depth, request.depthOf(part));
                        Set<RequestPart> deeper = request.deeperThan(part);
                        deeper.removeAll(sound);
                        if (Collections.disjoint(deeper, likely)) {
                            deepest |= deeper.isEmpty();
                            context.addAll(deeper);
                        }
                    }
                }
                if (deepest) {
                    crashesAsDeepest++;
                } else if (!context.isEmpty()) {
                    contexts.add(context);
                }
            }
            return new Suspect(part, crashesAsDeepest + contexts.size(), depth);
        }
    }

    private record SoundAnswers(double count, Duration at) {

        double countAt(Duration now) {
            double halfLives = (double) now.minus(at).toNanos() / SOUND_HALF_LIFE.toNanos();
            return count * Math.pow(0.5, Math.max(0, halfLives));
        }
    }

    private RequestQuarantine() {}

    /** Returns a quarantine without evidence. */
    public static RequestQuarantine create() {
        return new RequestQuarantine();
    }

    /**
     * Records that a server crashed.
     *
     * @param requests the requests that it was about to answer or had just begun to answer, as far as this instance knows
     */
    public void recordCrash(ServerRun run, Collection<RequestParts> requests, Duration now) {
        add(run, requests, now);
        weigh(now);
    }

    /** Records that a server answered a request, or answers it for some time already. */
    public void recordSoundAnswer(RequestParts request, Duration now) {
        boolean implicated = false;
        for (RequestPart part : request.parts()) {
            soundAnswers.put(part, new SoundAnswers(soundAnswers(part, now) + 1, now));
            implicated |= quarantined.contains(part);
        }
        if (implicated) {
            weigh(now);
        }
    }

    /** Returns a part of a request for which it must not be sent to a server; empty if it may be sent. */
    public Optional<RequestPart> find(RequestParts request) {
        return quarantined.isEmpty()
                ? Optional.empty()
                : request.parts().stream().filter(quarantined::contains).findFirst();
    }

    /** Tells whether a crash implicates any request. */
    public boolean hasSuspects() {
        return !suspectOutlines.isEmpty();
    }

    /** Tells whether a crash implicates requests of an outline, so that the fingerprint of such a request matters. */
    public boolean suspects(String outline) {
        return suspectOutlines.contains(outline);
    }

    /** Tells whether a crash implicates a part or fingerprint that no server has answered of late. */
    public boolean implicates(RequestPart part, Duration now) {
        return soundAnswers(part, now) < 1 && crashes.values().stream().anyMatch(crash -> crash.implicates(part));
    }

    /** Returns the quarantined parts and fingerprints. */
    public Set<RequestPart> quarantined() {
        return quarantined;
    }

    /** Drops evidence that no longer counts; to be called now and then. */
    public void expire(Duration now) {
        if (crashes.values().removeIf(crash -> now.minus(crash.at()).compareTo(RETENTION) >= 0)) {
            weigh(now);
        }
    }

    /** Returns the evidence to tell other instances. */
    public CrashEvidence evidence(Duration now) {
        List<CrashEvidence.Crash> told = newestFirst().stream()
                .map(crash ->
                        new CrashEvidence.Crash(crash.run(), now.minus(crash.at()), List.copyOf(crash.requests())))
                .toList();
        Map<RequestPart, Double> sound = new HashMap<>();
        for (RequestPart part : implicatedParts(crashes.values())) {
            double count = soundAnswers(part, now);
            if (count >= 1) {
                sound.put(part, count);
            }
        }
        return new CrashEvidence(told, sound);
    }

    /**
     * Adds the evidence of another instance; returns whether it held a crash or a request that was not known.
     *
     * <p>Of the sound answers the larger number counts, since both may have counted the same ones.
     */
    public boolean merge(CrashEvidence other, Duration now) {
        boolean newCrashes = false;
        for (CrashEvidence.Crash crash : other.crashes()) {
            if (!crash.age().isNegative() && crash.age().compareTo(RETENTION) < 0) {
                newCrashes |= add(crash.run(), crash.requests(), now.minus(crash.age()));
            }
        }
        boolean newAnswers = false;
        for (Map.Entry<RequestPart, Double> told : other.soundAnswers().entrySet()) {
            double known = soundAnswers(told.getKey(), now);
            if (told.getValue() > known) {
                soundAnswers.put(told.getKey(), new SoundAnswers(told.getValue(), now));
                newAnswers |= Math.floor(told.getValue()) > Math.floor(known);
            }
        }
        if (newCrashes || newAnswers) {
            weigh(now);
        }
        return newCrashes;
    }

    /** Adds a crash or requests that it implicates; returns whether any of that was not known. */
    private boolean add(ServerRun run, Collection<RequestParts> requests, Duration at) {
        Crash known = crashes.get(run);
        Set<RequestParts> all = new HashSet<>(known == null ? Set.of() : known.requests());
        requests.stream().filter(request -> !request.parts().isEmpty()).forEach(all::add);
        all = limited(run, all);
        if (all.isEmpty() || known != null && known.requests().equals(all)) {
            return false;
        }
        // Ages are told late, so that the earliest time is the best one.
        Duration earliest = known == null || at.compareTo(known.at()) < 0 ? at : known.at();
        crashes.put(run, new Crash(run, earliest, all));
        if (crashes.size() <= MAX_CRASHES) {
            return true;
        }
        Set<RequestPart> recurring = recurringParts();
        Crash dropped = crashes.values().stream()
                .min(Comparator.comparing(this::isExplained)
                        .thenComparing(crash -> recurring.stream().anyMatch(crash::implicates))
                        .thenComparing(Crash::at))
                .orElseThrow();
        crashes.remove(dropped.run());
        return !dropped.run().equals(run);
    }

    /** Drops requests that are too many: every instance the same ones, and other ones at each crash. */
    private static Set<RequestParts> limited(ServerRun run, Set<RequestParts> requests) {
        int left = MAX_PARTS_PER_CRASH;
        Set<RequestParts> kept = new HashSet<>();
        List<RequestParts> ordered = requests.stream()
                .sorted(Comparator.comparingInt(request -> (run.toString() + request).hashCode()))
                .toList();
        for (RequestParts request : ordered) {
            left -= request.parts().size();
            if (left < 0 && !kept.isEmpty()) {
                break;
            }
            kept.add(request);
        }
        return kept;
    }

    /** Returns the deepest parts of requests that several crashes implicate; they are about to be quarantined. */
    private Set<RequestPart> recurringParts() {
        Set<RequestPart> seen = new HashSet<>();
        Set<RequestPart> recurring = new HashSet<>();
        for (Crash crash : crashes.values()) {
            crash.requests().stream()
                    .map(request -> request.parts().getLast())
                    .distinct()
                    .filter(part -> !seen.add(part))
                    .forEach(recurring::add);
        }
        return recurring;
    }

    private boolean isExplained(Crash crash) {
        return quarantined.stream().anyMatch(crash::implicates);
    }

    private double soundAnswers(RequestPart part, Duration now) {
        SoundAnswers known = soundAnswers.get(part);
        return known == null ? 0 : known.countAt(now);
    }

    private List<Crash> newestFirst() {
        return crashes.values().stream()
                .sorted(Comparator.comparing(Crash::at).reversed())
                .toList();
    }

    /** Decides anew which parts are quarantined. */
    private void weigh(Duration now) {
        Set<RequestPart> found = new HashSet<>();
        List<Crash> unexplained = new ArrayList<>(crashes.values());
        for (Optional<RequestPart> next = mostSuspect(unexplained, now);
                next.isPresent();
                next = mostSuspect(unexplained, now)) {
            RequestPart part = next.get();
            found.add(part);
            unexplained.removeIf(crash -> crash.implicates(part));
        }
        quarantined = Set.copyOf(found);
        suspectOutlines = implicatedParts(crashes.values()).stream()
                .map(RequestPart::outline)
                .collect(Collectors.toSet());
    }

    /** Returns the part that explains most of the crashes; of equal ones the deepest. */
    private Optional<RequestPart> mostSuspect(List<Crash> unexplained, Duration now) {
        Map<RequestPart, List<Crash>> byPart = new HashMap<>();
        for (Crash crash : unexplained) {
            for (RequestPart part : implicatedParts(List.of(crash))) {
                byPart.computeIfAbsent(part, each -> new ArrayList<>()).add(crash);
            }
        }
        Set<RequestPart> sound = new HashSet<>();
        Set<RequestPart> likely = new HashSet<>();
        byPart.forEach((part, crashesWithPart) -> {
            if (crashesWithPart.size() >= crashesNeeded(part, now)) {
                likely.add(part);
            } else if (soundAnswers(part, now) >= 1) {
                sound.add(part);
            }
        });
        return byPart.entrySet().stream()
                .filter(each -> each.getValue().size() >= MIN_CRASHES)
                .map(each -> Suspect.of(each.getKey(), each.getValue(), sound, likely))
                .filter(suspect -> suspect.support() >= crashesNeeded(suspect.part(), now))
                .max(Comparator.comparingLong(Suspect::support)
                        .thenComparing(Suspect::depth)
                        .thenComparing(suspect -> suspect.part().value()))
                .map(Suspect::part);
    }

    private double crashesNeeded(RequestPart part, Duration now) {
        return MIN_CRASHES + SOUND_ANSWER_WEIGHT * Math.floor(soundAnswers(part, now));
    }

    private static Set<RequestPart> implicatedParts(Collection<Crash> crashes) {
        Set<RequestPart> parts = new HashSet<>();
        crashes.forEach(crash -> crash.requests().forEach(request -> parts.addAll(request.parts())));
        return parts;
    }
}
