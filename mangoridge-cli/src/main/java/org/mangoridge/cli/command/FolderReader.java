package org.mangoridge.cli.command;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import org.mangoridge.core.Result;
import org.mangoridge.settings.deployment.Deployment;
import org.mangoridge.settings.deployment.DeploymentFolder;
import org.mangoridge.settings.deployment.DeploymentParser;
import org.mangoridge.settings.deployment.MergedSections;
import org.mangoridge.settings.ini.Problem;

/** Merges and checks the folder that a command names. */
final class FolderReader {

    private FolderReader() {}

    /** Returns the merged folder, or what is wrong with it. */
    static Result<MergedSections, List<Problem>> read(Path folder) {
        return DeploymentFolder.read(folder).flatMap(merged -> {
            Result<Deployment, List<Problem>> parsed = DeploymentParser.parse(merged.sections());
            return parsed.map(deployment -> merged);
        });
    }

    /** Returns the merged folder, or prints what is wrong with it. */
    static Optional<MergedSections> readOrPrint(Invocation invocation) {
        Result<MergedSections, List<Problem>> merged = read(Path.of(invocation.onlyArgument("DIR")));
        if (merged.isOk()) {
            return Optional.of(merged.value());
        }
        merged.error().forEach(problem -> invocation.err().println(problem));
        return Optional.empty();
    }

    /** Returns the host and the folder for the audit trail. */
    static String origin(Invocation invocation) {
        Path folder = Path.of(invocation.onlyArgument("DIR")).toAbsolutePath().normalize();
        try {
            return InetAddress.getLocalHost().getHostName() + ":" + folder;
        } catch (UnknownHostException e) {
            return "unnamed host:" + folder;
        }
    }
}
