package org.mangoridge.settings;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.mangoridge.core.Result;
import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.InstanceId;
import org.mangoridge.core.net.HostPort;
import org.mangoridge.settings.deployment.KeyHash;
import org.mangoridge.settings.ini.IniEntry;
import org.mangoridge.settings.ini.IniFile;
import org.mangoridge.settings.ini.IniSection;
import org.mangoridge.settings.ini.Origin;
import org.mangoridge.settings.ini.Problem;
import org.mangoridge.settings.ini.SectionReader;
import org.mangoridge.settings.ini.Values;

/** Parses and validates the settings file of an entry instance. */
public final class InstanceSettingsParser {

    private static final String TOKEN_KEY_PREFIX = "token.";
    private static final long DEFAULT_MAX_BODY_BYTES = 1 << 20;
    private static final long MAX_BODY_BYTES_LIMIT = 64 << 20;
    private static final Duration DEFAULT_DRAIN_DELAY = Duration.ofSeconds(5);
    private static final Duration DEFAULT_DRAIN_TIMEOUT = Duration.ofMinutes(2);

    private final String fileName;
    private final Map<String, IniSection> sections = new HashMap<>();
    private final List<Problem> problems = new ArrayList<>();

    private InstanceSettingsParser(String fileName) {
        this.fileName = fileName;
    }

    /** Returns the settings in {@code text}, or all problems found in them. */
    public static Result<InstanceSettings, List<Problem>> parse(String fileName, String text) {
        return switch (IniFile.parse(fileName, text)) {
            case Result.Ok<List<IniSection>, Problem> ok ->
                new InstanceSettingsParser(fileName).readSections(ok.value());
            case Result.Err<List<IniSection>, Problem> err -> Result.err(List.of(err.error()));
        };
    }

    private Result<InstanceSettings, List<Problem>> readSections(List<IniSection> parsedSections) {
        parsedSections.forEach(this::addSection);
        SectionReader instance = section("instance");
        SectionReader listen = section("listen");
        SectionReader platform = section("platform");
        SectionReader peers = section("peers");
        SectionReader limits = section("limits");
        SectionReader drain = section("drain");
        SectionReader operators = section("operators");
        InstanceSettings settings = new InstanceSettings(
                instance.required("id", InstanceId::of),
                instance.required("zone", AvailabilityZone::of),
                listen.required("caller", Values::address),
                listen.required("peer", Values::address),
                listen.required("operator", Values::address),
                platform.required("address", Values::address),
                peers.optional("seeds", InstanceSettingsParser::addresses, List.of()),
                (int) (long) limits.optional("max-body", InstanceSettingsParser::bodySize, DEFAULT_MAX_BODY_BYTES),
                drain.optional("wait", Values::duration, DEFAULT_DRAIN_DELAY),
                drain.optional("limit", Values::duration, DEFAULT_DRAIN_TIMEOUT),
                operators(operators));
        List.of(instance, listen, platform, peers, limits, drain, operators).forEach(SectionReader::rejectUnknownKeys);
        return problems.isEmpty() ? Result.ok(settings) : Result.err(List.copyOf(problems));
    }

    private void addSection(IniSection section) {
        IniSection earlier = sections.putIfAbsent(section.heading(), section);
        if (earlier != null) {
            problems.add(
                    new Problem(section.origin(), section.heading(), "section already defined at " + earlier.origin()));
        }
        if (!List.of("instance", "listen", "platform", "peers", "limits", "drain", "operators")
                .contains(section.heading())) {
            problems.add(new Problem(
                    section.origin(),
                    section.heading(),
                    "unknown section; accepted: instance, listen, platform, peers, limits, drain, operators"));
        }
    }

    private SectionReader section(String name) {
        IniSection emptySection = new IniSection(name, "", new Origin(fileName, 0), List.of());
        return new SectionReader(sections.getOrDefault(name, emptySection), problems);
    }

    private Map<String, KeyHash> operators(SectionReader reader) {
        Map<String, KeyHash> hashes = new HashMap<>();
        for (IniEntry entry : reader.entriesWithPrefix(TOKEN_KEY_PREFIX)) {
            try {
                hashes.put(entry.key().substring(TOKEN_KEY_PREFIX.length()), KeyHash.parse(entry.value()));
            } catch (IllegalArgumentException e) {
                reader.reject(entry.key(), e.getMessage());
            }
        }
        return hashes;
    }

    private static List<HostPort> addresses(String text) {
        return Values.commaSeparated(text).stream().map(Values::address).toList();
    }

    private static long bodySize(String text) {
        long size = Values.sizeBytes(text);
        if (size < 1 || size > MAX_BODY_BYTES_LIMIT) {
            throw new IllegalArgumentException("expected a size from 1B to 64MiB, found: " + text);
        }
        return size;
    }
}
