package org.mangoridge.config.distribution;

import java.util.List;

import org.mangoridge.config.PublishedConfig;
import org.mangoridge.core.Result;
import org.mangoridge.core.id.Generation;
import org.mangoridge.settings.deployment.Deployment;
import org.mangoridge.settings.deployment.DeploymentParser;
import org.mangoridge.settings.ini.Problem;

/**
 * A configuration with verified hashes and a valid text.
 *
 * @param published the configuration as published
 * @param deployment the settings parsed from its text
 */
public record CheckedConfig(PublishedConfig published, Deployment deployment) {

    /** Parses the text of a configuration; the error is the first problem found. */
    public static Result<CheckedConfig, String> check(PublishedConfig published) {
        String name = "generation-" + published.generation();
        return switch (DeploymentParser.parseText(name, published.text())) {
            case Result.Ok<Deployment, List<Problem>> ok -> Result.ok(new CheckedConfig(published, ok.value()));
            case Result.Err<Deployment, List<Problem>> err ->
                Result.err(err.error().get(0).toString());
        };
    }

    /** Returns the generation of the configuration. */
    public Generation generation() {
        return published.generation();
    }
}
