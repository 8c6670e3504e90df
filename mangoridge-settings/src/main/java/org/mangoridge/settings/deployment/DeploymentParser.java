package org.mangoridge.settings.deployment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.mangoridge.core.Result;
import org.mangoridge.core.id.AvailabilityZone;
import org.mangoridge.core.id.CallerClassId;
import org.mangoridge.core.id.CallerId;
import org.mangoridge.core.id.ModelId;
import org.mangoridge.core.id.ServerId;
import org.mangoridge.core.id.ServiceId;
import org.mangoridge.core.id.WorkspaceId;
import org.mangoridge.settings.ini.IniFile;
import org.mangoridge.settings.ini.IniSection;
import org.mangoridge.settings.ini.Origin;
import org.mangoridge.settings.ini.Problem;
import org.mangoridge.settings.ini.SectionReader;
import org.mangoridge.settings.ini.Values;

/** Parses merged sections into a validated {@link Deployment}. */
public final class DeploymentParser {

    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration DEFAULT_MAX_WAIT = Duration.ofSeconds(30);
    private static final int DEFAULT_SHARE = 1;
    private static final int MAX_SHARE = 1000;
    private static final int DEFAULT_SERVING_FLOOR = 1;
    private static final int MAX_SERVING_FLOOR = 1000;
    private static final List<String> DEFAULT_IDEMPOTENT_METHODS = List.of("GET", "HEAD", "OPTIONS");

    private final List<Problem> problems = new ArrayList<>();
    private final List<Service> services = new ArrayList<>();
    private final List<CallerClass> classes = new ArrayList<>();
    private final List<Caller> callers = new ArrayList<>();
    private final List<Server> servers = new ArrayList<>();

    private DeploymentParser() {}

    /** Returns the deployment that {@code sections} describe, or all problems found in them. */
    public static Result<Deployment, List<Problem>> parse(List<IniSection> sections) {
        DeploymentParser parser = new DeploymentParser();
        sections.forEach(parser::readSection);
        if (parser.problems.isEmpty()) {
            parser.checkReferences(sections);
        }
        if (!parser.problems.isEmpty()) {
            return Result.err(List.copyOf(parser.problems));
        }
        return Result.ok(Deployment.of(parser.services, parser.classes, parser.callers, parser.servers));
    }

    /**
     * Returns the deployment in the INI text {@code text}, or all problems found in it.
     *
     * @param name the file name that problems show
     */
    public static Result<Deployment, List<Problem>> parseText(String name, String text) {
        return switch (IniFile.parse(name, text)) {
            case Result.Ok<List<IniSection>, Problem> ok -> parse(ok.value());
            case Result.Err<List<IniSection>, Problem> err -> Result.err(List.of(err.error()));
        };
    }

    private void readSection(IniSection section) {
        if (section.name().isEmpty()) {
            problems.add(new Problem(section.origin(), section.heading(), "expected [" + section.kind() + " NAME]"));
            return;
        }
        SectionReader reader = new SectionReader(section, problems);
        switch (section.kind()) {
            case "service" -> readService(section, reader);
            case "class" -> readCallerClass(section, reader);
            case "caller" -> readCaller(section, reader);
            case "server" -> readServer(section, reader);
            default -> {
                problems.add(new Problem(
                        section.origin(),
                        section.heading(),
                        "unknown section; accepted: service NAME, class NAME, caller NAME, server NAME"));
                return;
            }
        }
        reader.rejectUnknownKeys();
    }

    private void readService(IniSection section, SectionReader reader) {
        ServiceKind kind = reader.required("kind", text -> Values.choice(text, ServiceKind.class));
        boolean isModel = kind == ServiceKind.MODEL;
        ModelId model = isModel ? reader.required("model", ModelId::of) : null;
        String version = isModel ? reader.required("version", text -> text) : "";
        String previousVersion = isModel ? reader.optional("previous-version", text -> text, "") : "";
        int servingFloor = isModel
                ? reader.optional(
                        "serving-floor", text -> Values.integer(text, 0, MAX_SERVING_FLOOR), DEFAULT_SERVING_FLOOR)
                : 0;
        Duration timeout = reader.optional("timeout", Values::duration, DEFAULT_TIMEOUT);
        List<String> idempotent =
                reader.optional("idempotent-methods", Values::commaSeparated, DEFAULT_IDEMPOTENT_METHODS);
        if (kind != null) {
            services.add(new Service(
                    ServiceId.of(section.name()),
                    kind,
                    model,
                    version,
                    previousVersion,
                    servingFloor,
                    timeout,
                    new HashSet<>(idempotent)));
        }
    }

    private void readCallerClass(IniSection section, SectionReader reader) {
        Duration firstToken = reader.required("first-token", Values::duration);
        Duration perToken = reader.required("per-token", Values::duration);
        boolean canWait = reader.optional("can-wait", Values::yesNo, false);
        Duration maxWait = reader.optional("max-wait", Values::duration, DEFAULT_MAX_WAIT);
        int share = reader.optional("share", text -> Values.integer(text, 1, MAX_SHARE), DEFAULT_SHARE);
        classes.add(new CallerClass(CallerClassId.of(section.name()), firstToken, perToken, canWait, maxWait, share));
    }

    private void readCaller(IniSection section, SectionReader reader) {
        KeyHash keyHash = reader.required("key-hash", KeyHash::parse);
        CallerClassId callerClass = reader.required("class", CallerClassId::of);
        WorkspaceId workspace = reader.optional("workspace", WorkspaceId::of, WorkspaceId.of(section.name()));
        callers.add(new Caller(CallerId.of(section.name()), keyHash, callerClass, workspace));
    }

    private void readServer(IniSection section, SectionReader reader) {
        ServerRole role = reader.required("role", text -> Values.choice(text, ServerRole.class));
        servers.add(new Server(
                ServerId.of(section.name()),
                reader.required("address", Values::address),
                reader.required("zone", AvailabilityZone::of),
                role,
                reader.required("service", ServiceId::of),
                reader.optional("checks-fencing", Values::yesNo, false)));
    }

    private void checkReferences(List<IniSection> sections) {
        Set<String> headings = new HashSet<>();
        sections.forEach(section -> headings.add(section.heading()));
        for (IniSection section : sections) {
            SectionReader reader = new SectionReader(section, problems);
            switch (section.kind()) {
                case "caller" -> checkReference(reader, headings, "class", "class");
                case "server" -> checkReference(reader, headings, "service", "service");
                default -> {
                    // Services and classes refer to no other section.
                }
            }
        }
        servers.forEach(this::checkRole);
    }

    private void checkReference(SectionReader reader, Set<String> headings, String key, String kind) {
        String name = reader.required(key, text -> text);
        if (!headings.contains(kind + " " + name)) {
            reader.reject(key, "there is no [" + kind + " " + name + "]");
        }
    }

    private void checkRole(Server server) {
        services.stream()
                .filter(service -> service.id().equals(server.service()))
                .filter(service -> (service.kind() == ServiceKind.PLAIN) != (server.role() == ServerRole.PLAIN))
                .forEach(service -> problems.add(new Problem(
                        new Origin("server " + server.id(), 0),
                        "role",
                        "expected plain for a server of a plain service, and prefill, decode or both for a server of a"
                                + " model service; found " + Values.choiceName(server.role()))));
    }
}
