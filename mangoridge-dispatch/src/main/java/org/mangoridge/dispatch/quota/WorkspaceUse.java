package org.mangoridge.dispatch.quota;

import java.time.Duration;

import org.mangoridge.core.Checks;
import org.mangoridge.core.id.WorkspaceId;

/**
 * What the requests of a workspace have used at one instance, as it is told to the others.
 *
 * <p>Counts are cumulative, so that a lost report is made up for by the next one.
 *
 * @param workspace the workspace
 * @param asked the units that were asked for since the account was opened
 * @param granted the units of these that were granted
 * @param age how long ago the instance opened the account; an account that is opened anew is younger and counts from zero
 */
public record WorkspaceUse(WorkspaceId workspace, long asked, long granted, Duration age) {

    public WorkspaceUse {
        Checks.notNull(workspace, "workspace");
        Checks.argument(
                granted >= 0 && asked >= granted,
                "granted units must be among those asked for: %d, %d",
                granted,
                asked);
        Checks.argument(!age.isNegative(), "age must not be negative: %s", age);
    }
}
