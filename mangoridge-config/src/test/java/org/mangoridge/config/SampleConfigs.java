package org.mangoridge.config;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.mangoridge.config.audit.AuditLog;
import org.mangoridge.core.time.VirtualClock;
import org.mangoridge.objects.ObjectStore;
import org.mangoridge.settings.deployment.KeyHash;
import org.mangoridge.settings.ini.IniFile;
import org.mangoridge.settings.ini.IniSection;

/** Sample configurations and publishers for tests. */
public final class SampleConfigs {

    private static final long SEED = 7;

    private SampleConfigs() {}

    /** Returns a valid configuration of one class with {@code share} and {@code callers} callers of that class. */
    public static List<IniSection> sections(int callers, int share) {
        StringBuilder text = new StringBuilder("""
                [class counter]
                first-token = 340ms
                per-token = 39ms
                share = %d
                """.formatted(share));
        KeyHash hash = KeyHash.of(new byte[8], "secret");
        for (int i = 0; i < callers; i++) {
            text.append("""
                    [caller c%04d]
                    key-hash = %s
                    class = counter
                    workspace = w%04d
                    """.formatted(i, hash, i));
        }
        return IniFile.parse("sample.ini", text.toString()).value();
    }

    /** Returns a publisher on {@code store} with a clock that stands still. */
    public static Publisher publisher(ObjectStore store) {
        return Publisher.create(
                store, AuditLog.create(store, AuditLog.REFUSALS, new SplittableRandom(SEED)), VirtualClock.create());
    }

    /** Returns a request of {@code operator} without a base generation. */
    public static ApplyRequest request(String id, String operator, List<IniSection> sections) {
        return new ApplyRequest(ApplyId.of(id), operator, "test", Optional.empty(), sections);
    }

    /** Publishes a configuration with three callers and returns the configuration that the store then holds. */
    public static PublishedConfig publish(ObjectStore store, String id, int share) {
        publisher(store).apply(request(id, "ann", sections(3, share)), PublishedConfig.initial());
        return stored(store);
    }

    /** Returns the configuration in force in {@code store}. */
    public static PublishedConfig stored(ObjectStore store) {
        ConfigRepository repository = ConfigRepository.create(store);
        return repository
                .load(repository.readHead().value(), PublishedConfig.initial())
                .value();
    }
}
