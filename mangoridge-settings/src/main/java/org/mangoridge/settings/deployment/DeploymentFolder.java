package org.mangoridge.settings.deployment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.mangoridge.core.Result;
import org.mangoridge.settings.ini.IniEntry;
import org.mangoridge.settings.ini.IniFile;
import org.mangoridge.settings.ini.IniSection;
import org.mangoridge.settings.ini.Origin;
import org.mangoridge.settings.ini.Problem;

/** Reads the INI files of a folder and merges them in the order of their names. */
public final class DeploymentFolder {

    private static final String SUFFIX = ".ini";

    private DeploymentFolder() {}

    /** Returns the merged sections of all INI files in {@code folder}, or the problems found in any of them. */
    public static Result<MergedSections, List<Problem>> read(Path folder) {
        List<Problem> problems = new ArrayList<>();
        List<List<IniSection>> files = new ArrayList<>();
        try (Stream<Path> paths = Files.list(folder)) {
            List<Path> sorted = paths.filter(path -> path.toString().endsWith(SUFFIX))
                    .sorted()
                    .toList();
            for (Path path : sorted) {
                readFile(path, files, problems);
            }
        } catch (IOException e) {
            problems.add(new Problem(new Origin(folder.toString(), 0), "folder", "can't be read: " + e.getMessage()));
        }
        if (problems.isEmpty() && files.isEmpty()) {
            problems.add(new Problem(new Origin(folder.toString(), 0), "folder", "contains no file named *" + SUFFIX));
        }
        return problems.isEmpty() ? Result.ok(MergedSections.merge(files)) : Result.err(problems);
    }

    private static void readFile(Path path, List<List<IniSection>> files, List<Problem> problems) throws IOException {
        String name = path.getFileName().toString();
        switch (IniFile.parse(name, Files.readString(path))) {
            case Result.Ok<List<IniSection>, Problem> ok -> {
                ok.value().forEach(section -> rejectRepeatedKeys(section, problems));
                files.add(ok.value());
            }
            case Result.Err<List<IniSection>, Problem> err -> problems.add(err.error());
        }
    }

    private static void rejectRepeatedKeys(IniSection section, List<Problem> problems) {
        List<IniEntry> entries = section.entries();
        for (int i = 0; i < entries.size(); i++) {
            for (int j = 0; j < i; j++) {
                if (entries.get(j).key().equals(entries.get(i).key())) {
                    problems.add(new Problem(
                            entries.get(i).origin(),
                            entries.get(i).key(),
                            "already set at " + entries.get(j).origin()));
                }
            }
        }
    }
}
