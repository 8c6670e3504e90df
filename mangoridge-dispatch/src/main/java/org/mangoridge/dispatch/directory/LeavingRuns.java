package org.mangoridge.dispatch.directory;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.mangoridge.core.id.ServerId;

/**
 * The runs of servers that have said in an answer that they leave; confined to one thread.
 *
 * <p>The word holds for the run, whatever its entry says, and ends with a later run of the same server. What is not
 * listed is forgotten some time after it was said, so that instances do not remind each other of it for ever.
 */
final class LeavingRuns {

    /** Bounds what peers may tell. */
    private static final int MAX_RUNS = 4096;

    private final Duration retention;
    /** When each run said so, by server, the last learnt last. */
    private final Map<ServerId, Said> runs = new LinkedHashMap<>();

    private record Said(long startedMillis, Duration at) {}

    LeavingRuns(Duration retention) {
        this.retention = retention;
    }

    boolean isEmpty() {
        return runs.isEmpty();
    }

    /** Records that a run leaves; returns whether that is new. */
    boolean add(ServerRun run, Duration saidAt) {
        Said known = runs.get(run.server());
        if (known != null && known.startedMillis() >= run.startedMillis() || known == null && runs.size() >= MAX_RUNS) {
            return false;
        }
        runs.remove(run.server());
        runs.put(run.server(), new Said(run.startedMillis(), saidAt));
        return true;
    }

    /** Tells whether a run has said that it leaves. */
    boolean contains(ServerRun run) {
        Said said = runs.get(run.server());
        return said != null && said.startedMillis() == run.startedMillis();
    }

    /** Returns the runs that have said so, the last learnt first. */
    List<LeavingRun> all(Duration now) {
        List<LeavingRun> all = new ArrayList<>();
        runs.forEach((server, said) ->
                all.add(new LeavingRun(new ServerRun(server, said.startedMillis()), now.minus(said.at()))));
        Collections.reverse(all);
        return all;
    }

    /** Forgets runs that are not listed and said so long ago. */
    void expire(Set<ServerRun> listed, Duration now) {
        Set<ServerId> kept =
                listed.stream().filter(this::contains).map(ServerRun::server).collect(Collectors.toSet());
        runs.entrySet()
                .removeIf(each -> !kept.contains(each.getKey())
                        && now.minus(each.getValue().at()).compareTo(retention) > 0);
    }
}
