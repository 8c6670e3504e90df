package org.mangoridge.config.distribution;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.mangoridge.config.ApplyOutcome;
import org.mangoridge.config.PublishedConfig;
import org.mangoridge.config.Publisher;
import org.mangoridge.config.SampleConfigs;
import org.mangoridge.core.id.Generation;
import org.mangoridge.settings.ini.IniEntry;
import org.mangoridge.settings.ini.IniSection;
import org.mangoridge.standin.platform.InMemoryObjectStore;

import static com.google.common.truth.Truth.assertThat;

class ConfigOfferSizeTest {

    private static final int WORKSPACES = 2800;
    private static final int CHANGES_PER_DAY = 240;
    private static final int SAMPLED_CHANGES = 40;
    private static final int STARTS_PER_DAY = 219;
    private static final int INSTANCES = 340;

    @Test
    void incrementalOffersTakeAFractionOfTheSizeOfFullOnes() {
        InMemoryObjectStore store = InMemoryObjectStore.create();
        Publisher publisher = SampleConfigs.publisher(store);
        SplittableRandom random = new SplittableRandom(5);
        List<IniSection> sections = new ArrayList<>(SampleConfigs.sections(WORKSPACES, 1));
        publisher.apply(SampleConfigs.request("a0", "ann", sections), PublishedConfig.initial());
        ConfigHistory history = ConfigHistory.create();
        history.add(SampleConfigs.stored(store));
        long incrementalBytes = 0;
        for (int i = 1; i <= SAMPLED_CHANGES; i++) {
            moveOneCaller(sections, random, i);
            PublishedConfig known = history.current();
            ApplyOutcome outcome = publisher.apply(SampleConfigs.request("a" + i, "ann", sections), known);
            assertThat(outcome).isInstanceOf(ApplyOutcome.Accepted.class);
            history.add(SampleConfigs.stored(store));
            incrementalBytes +=
                    history.offerSince(known.generation()).orElseThrow().text().length();
        }
        long fullBytes =
                history.offerSince(Generation.of(0)).orElseThrow().text().length();
        long incrementalBytesPerDay = incrementalBytes / SAMPLED_CHANGES * CHANGES_PER_DAY * INSTANCES;
        long fullBytesPerDay = fullBytes * CHANGES_PER_DAY * INSTANCES;
        System.out.printf(
                "%d workspaces: full offer %d bytes, incremental offer %d bytes on average; to %d instances per day"
                        + " %d MiB incremental or %d MiB full, and %d MiB for %d starts in either case%n",
                WORKSPACES,
                fullBytes,
                incrementalBytes / SAMPLED_CHANGES,
                INSTANCES,
                incrementalBytesPerDay >> 20,
                fullBytesPerDay >> 20,
                fullBytes * STARTS_PER_DAY >> 20,
                STARTS_PER_DAY);
        assertThat(incrementalBytesPerDay * 8).isLessThan(fullBytesPerDay);
    }

    private static void moveOneCaller(List<IniSection> sections, SplittableRandom random, int number) {
        int index = 1 + random.nextInt(WORKSPACES);
        IniSection old = sections.get(index);
        List<IniEntry> entries = new ArrayList<>(old.entries());
        IniEntry workspace = entries.get(2);
        entries.set(2, new IniEntry(workspace.key(), "moved-" + number, workspace.origin()));
        sections.set(index, new IniSection(old.kind(), old.name(), old.origin(), entries));
    }
}
