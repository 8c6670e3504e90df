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
import org.mangoridge.dispatch.request.PromptPart;

/**
 * Finds the requests and the parts of prompts that crash servers and keeps them from servers; does no I/O, confined to
 * one thread.
 *
 * <p>The fingerprint of a request counts as the deepest part of its prompt, and as the only one if it has no prompt. A
 * crash implicates all prompts that the server was about to answer, and a server may crash for other reasons. A part is
 * quarantined if it explains {@link #MIN_CRASHES} crashes that no other quarantined part explains, and outweighs the
 * sound answers to prompts with it. Where parts always occur together the deepest is taken, so that prompts that share
 * only the others go on; if one of those crashes servers too, it gains evidence that the deepest lacks.
 *
 * <p>Instances exchange their evidence. Merging is commutative and idempotent, so that it may arrive in any order, more
 * than once, or through others, also after a restart of the one that observed it.
 */
public final class PromptQuarantine {

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
    private final Map<PromptPart, SoundAnswers> soundAnswers = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<PromptPart, SoundAnswers> eldest) {
            return size() > MAX_SOUND_PARTS;
        }
    };

    private Set<PromptPart> quarantined = Set.of();
    /** The outlines of the requests that a crash implicates. */
    private Set<String> suspectOutlines = Set.of();

    private record Crash(ServerRun run, Duration at, Set<Prompt> prompts) {

        boolean implicates(PromptPart part) {
            return prompts.stream().anyMatch(prompt -> prompt.contains(part));
        }
    }

    /**
     * A part and the case against it.
     *
     * @param support the number of crashes that the part explains better than the parts after it do
     * @param depth the largest number of parts before it in a prompt
     */
    private record Suspect(PromptPart part, long support, int depth) {

        /**
         * Weighs a part; crashes under the same deeper parts count once, since those are more likely the cause.
         *
         * @param sound the parts that servers answer, and which are not the cause therefore
         * @param likely the parts with enough crashes to be the cause by themselves; those under a deeper one don't count
         */
        static Suspect of(PromptPart part, List<Crash> crashes, Set<PromptPart> sound, Set<PromptPart> likely) {
            long crashesAsDeepest = 0;
            Set<Set<PromptPart>> contexts = new HashSet<>();
            int depth = 0;
            for (Crash crash : crashes) {
                Set<PromptPart> context = new HashSet<>();
                boolean deepest = false;
                for (Prompt prompt : crash.prompts()) {
                    if (prompt.contains(part)) {
                        depth = Math.max(depth, prompt.depthOf(part));
                        Set<PromptPart> deeper = prompt.deeperThan(part);
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

    private PromptQuarantine() {}

    /** Returns a quarantine without evidence. */
    public static PromptQuarantine create() {
        return new PromptQuarantine();
    }

    /**
     * Records that a server crashed.
     *
     * @param prompts the prompts that it was about to answer or had just begun to answer, as far as this instance knows
     */
    public void recordCrash(ServerRun run, Collection<Prompt> prompts, Duration now) {
        add(run, prompts, now);
        weigh(now);
    }

    /** Records that a server answered a prompt, or answers it for some time already. */
    public void recordSoundAnswer(Prompt prompt, Duration now) {
        boolean implicated = false;
        for (PromptPart part : prompt.parts()) {
            soundAnswers.put(part, new SoundAnswers(soundAnswers(part, now) + 1, now));
            implicated |= quarantined.contains(part);
        }
        if (implicated) {
            weigh(now);
        }
    }

    /** Returns a part of a prompt for which it must not be sent to a server; empty if it may be sent. */
    public Optional<PromptPart> find(Prompt prompt) {
        return quarantined.isEmpty()
                ? Optional.empty()
                : prompt.parts().stream().filter(quarantined::contains).findFirst();
    }

    /** Tells whether a crash implicates requests of an outline, so that the fingerprint of such a request matters. */
    public boolean suspects(String outline) {
        return suspectOutlines.contains(outline);
    }

    /** Tells whether a crash implicates a part or fingerprint. */
    public boolean implicates(PromptPart part) {
        return crashes.values().stream().anyMatch(crash -> crash.implicates(part));
    }

    /** Returns the quarantined parts and fingerprints. */
    public Set<PromptPart> quarantined() {
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
                .map(crash -> new CrashEvidence.Crash(crash.run(), now.minus(crash.at()), List.copyOf(crash.prompts())))
                .toList();
        Map<PromptPart, Double> sound = new HashMap<>();
        for (PromptPart part : implicatedParts(crashes.values())) {
            double count = soundAnswers(part, now);
            if (count >= 1) {
                sound.put(part, count);
            }
        }
        return new CrashEvidence(told, sound);
    }

    /**
     * Adds the evidence of another instance; returns whether it held a crash or a prompt that was not known.
     *
     * <p>Of the sound answers the larger number counts, since both may have counted the same ones.
     */
    public boolean merge(CrashEvidence other, Duration now) {
        boolean newCrashes = false;
        for (CrashEvidence.Crash crash : other.crashes()) {
            if (!crash.age().isNegative() && crash.age().compareTo(RETENTION) < 0) {
                newCrashes |= add(crash.run(), crash.prompts(), now.minus(crash.age()));
            }
        }
        boolean newAnswers = false;
        for (Map.Entry<PromptPart, Double> told : other.soundAnswers().entrySet()) {
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

    /** Adds a crash or prompts that it implicates; returns whether any of that was not known. */
    private boolean add(ServerRun run, Collection<Prompt> prompts, Duration at) {
        Crash known = crashes.get(run);
        Set<Prompt> all = new HashSet<>(known == null ? Set.of() : known.prompts());
        prompts.stream().filter(prompt -> !prompt.parts().isEmpty()).forEach(all::add);
        all = limited(run, all);
        if (all.isEmpty() || known != null && known.prompts().equals(all)) {
            return false;
        }
        // Ages are told late, so that the earliest time is the best one.
        Duration earliest = known == null || at.compareTo(known.at()) < 0 ? at : known.at();
        crashes.put(run, new Crash(run, earliest, all));
        if (crashes.size() <= MAX_CRASHES) {
            return true;
        }
        Set<PromptPart> recurring = recurringParts();
        Crash dropped = crashes.values().stream()
                .min(Comparator.comparing(this::isExplained)
                        .thenComparing(crash -> recurring.stream().anyMatch(crash::implicates))
                        .thenComparing(Crash::at))
                .orElseThrow();
        crashes.remove(dropped.run());
        return !dropped.run().equals(run);
    }

    /** Drops prompts that are too many: every instance the same ones, and other ones at each crash. */
    private static Set<Prompt> limited(ServerRun run, Set<Prompt> prompts) {
        int left = MAX_PARTS_PER_CRASH;
        Set<Prompt> kept = new HashSet<>();
        List<Prompt> ordered = prompts.stream()
                .sorted(Comparator.comparingInt(prompt -> (run.toString() + prompt).hashCode()))
                .toList();
        for (Prompt prompt : ordered) {
            left -= prompt.parts().size();
            if (left < 0 && !kept.isEmpty()) {
                break;
            }
            kept.add(prompt);
        }
        return kept;
    }

    /** Returns the deepest parts of prompts that several crashes implicate; they are about to be quarantined. */
    private Set<PromptPart> recurringParts() {
        Set<PromptPart> seen = new HashSet<>();
        Set<PromptPart> recurring = new HashSet<>();
        for (Crash crash : crashes.values()) {
            crash.prompts().stream()
                    .map(prompt -> prompt.parts().getLast())
                    .distinct()
                    .filter(part -> !seen.add(part))
                    .forEach(recurring::add);
        }
        return recurring;
    }

    private boolean isExplained(Crash crash) {
        return quarantined.stream().anyMatch(crash::implicates);
    }

    private double soundAnswers(PromptPart part, Duration now) {
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
        Set<PromptPart> found = new HashSet<>();
        List<Crash> unexplained = new ArrayList<>(crashes.values());
        for (Optional<PromptPart> next = mostSuspect(unexplained, now);
                next.isPresent();
                next = mostSuspect(unexplained, now)) {
            PromptPart part = next.get();
            found.add(part);
            unexplained.removeIf(crash -> crash.implicates(part));
        }
        quarantined = Set.copyOf(found);
        suspectOutlines = implicatedParts(crashes.values()).stream()
                .map(RequestFingerprint::outlineOf)
                .collect(Collectors.toSet());
    }

    /** Returns the part that explains most of the crashes; of equal ones the deepest. */
    private Optional<PromptPart> mostSuspect(List<Crash> unexplained, Duration now) {
        Map<PromptPart, List<Crash>> byPart = new HashMap<>();
        for (Crash crash : unexplained) {
            for (PromptPart part : implicatedParts(List.of(crash))) {
                byPart.computeIfAbsent(part, each -> new ArrayList<>()).add(crash);
            }
        }
        Set<PromptPart> sound = new HashSet<>();
        Set<PromptPart> likely = new HashSet<>();
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

    private double crashesNeeded(PromptPart part, Duration now) {
        return MIN_CRASHES + SOUND_ANSWER_WEIGHT * Math.floor(soundAnswers(part, now));
    }

    private static Set<PromptPart> implicatedParts(Collection<Crash> crashes) {
        Set<PromptPart> parts = new HashSet<>();
        crashes.forEach(crash -> crash.prompts().forEach(prompt -> parts.addAll(prompt.parts())));
        return parts;
    }
}
