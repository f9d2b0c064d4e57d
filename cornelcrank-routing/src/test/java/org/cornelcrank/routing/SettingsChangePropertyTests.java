package org.cornelcrank.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.cornelcrank.config.TeamPolicy;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.HostEntry;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.routing.VirtualFleet.SentRequest;
import org.cornelcrank.routing.VirtualFleet.Work;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/** Plays drawn changes of the settings and of the targets, and silences, beside requests in any state. */
class SettingsChangePropertyTests {

    private static final int SEEDS = Integer.getInteger("settings.seeds", 40);
    private static final long OBJECTIVE_MS = 300;
    private static final long DEADLINE_MS = 12_000;
    private static final int MAX_LATENESS_MS = 400;

    /** A change, which each daemon learns at a time of its own. */
    private enum Change {
        TEAM_DROPPED,
        TARGET_DRAINED,
        SLOTS_HALVED,
        ENTRY_LAPSED,
        TARGET_REMOVED,
        TARGET_MOVED,
        TARGET_ADDED
    }

    /** What falls silent for more than a second at about that time. */
    private enum Silence {
        NOTHING,
        TARGET,
        ALL_TARGETS,
        DAEMON
    }

    /** Guards against requests without one complete response beside a change, or a refusal before it begins. */
    @ParameterizedTest
    @ValueSource(ints = {3, 12})
    void eachRequestGetsOneCompleteResponseOrARefusal(int daemons) {
        List<String> faults = new ArrayList<>();
        int requests = 0;
        int retried = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            Play play = new Play(seed, daemons);
            requests += play.sent.size();
            retried += play.retried();
            faults.addAll(play.faults());
        }
        assertThat(faults).isEmpty();
        assertThat(requests).isGreaterThan(SEEDS * daemons);
        assertThat(retried).isPositive();
    }

    private static final class Play {

        private final long seed;
        private final SplittableRandom random;
        private final VirtualFleet fleet;
        private final List<TargetId> targets = new ArrayList<>();
        private final List<SentRequest> sent = new ArrayList<>();
        private final Change change;
        private final Silence silence;
        private final TargetId changed;

        Play(long seed, int daemons) {
            this.seed = seed;
            random = new SplittableRandom(seed * daemons);
            fleet = new VirtualFleet(seed);
            fleet.resumesAnywhere = true;
            fleet.reportsTokensOfCrashes = true;
            fleet.readTimeoutMs = 2 * OBJECTIVE_MS;
            int engines = daemons - random.nextInt(2);
            for (int i = 0; i < engines; i++) {
                targets.add(fleet.addEngine("r" + i, VirtualFleet.NORTH, 4, 60, 20).id);
            }
            change = Change.values()[random.nextInt(Change.values().length)];
            silence = Silence.values()[random.nextInt(Silence.values().length)];
            changed = targets.get(random.nextInt(engines));
            fleet.start(
                    Collections.nCopies(daemons, VirtualFleet.NORTH),
                    () -> new RoutingPolicy(
                            RoutingSettings.forLatencyObjectives(),
                            RoutingPolicy.defaults().selector(),
                            RoutingPolicy.defaults().admission()));
            int requests = engines * (3 + random.nextInt(20));
            for (int i = 0; i < requests; i++) {
                fleet.at(fleet.nowMs + random.nextInt(2_500), this::send);
            }
            fleet.at(fleet.nowMs + 1_000 + random.nextInt(500), this::fallSilent);
            fleet.at(fleet.nowMs + 1_200 + random.nextInt(300), this::change);
            fleet.run(3 * DEADLINE_MS);
        }

        private void send() {
            int daemon = random.nextInt(fleet.nodes.size());
            Optional<TeamPolicy> admittedUnder =
                    fleet.nodes.get(daemon).settings.team(new TeamPath("/nilavu"));
            RequestOptions options =
                    new RequestOptions(1 + random.nextInt(3), true, OBJECTIVE_MS, Optional.empty(), admittedUnder);
            Work work = Work.online(10 + random.nextInt(80), sent.size() + 1).withDeadline(DEADLINE_MS);
            sent.add(fleet.send(daemon, random.nextInt(4) == 0 ? work.notRepeatable() : work, options));
        }

        private void fallSilent() {
            long silentMs = 1_000 + random.nextInt(500);
            switch (silence) {
                case TARGET -> fleet.silence(targets.get(random.nextInt(targets.size())), silentMs);
                case ALL_TARGETS -> targets.forEach(target -> fleet.silence(target, silentMs));
                case DAEMON -> {
                    int daemon = random.nextInt(fleet.nodes.size());
                    fleet.cutOff(daemon);
                    fleet.at(fleet.nowMs + silentMs, () -> fleet.reconnect(daemon));
                }
                default -> {}
            }
        }

        private void change() {
            if (change == Change.TARGET_ADDED) {
                fleet.addEngine("r-new", VirtualFleet.NORTH, 4, 60, 20);
            } else if (change == Change.TARGET_MOVED) {
                HostEntry entry = fleet.hosts.get(changed);
                fleet.hosts.put(
                        changed,
                        new HostEntry(
                                entry.name(),
                                entry.role(),
                                entry.location(),
                                "127.0.0.1:9001",
                                entry.services(),
                                entry.leaving(),
                                entry.incarnation(),
                                entry.softwareVersion()));
            }
            fleet.engines.get(changed).refuses = change == Change.TARGET_DRAINED;
            for (VirtualFleet.Node node : fleet.nodes) {
                fleet.at(fleet.nowMs + random.nextInt(MAX_LATENESS_MS), () -> learn(node));
            }
        }

        private void learn(VirtualFleet.Node node) {
            Effects out = new Effects();
            switch (change) {
                case TEAM_DROPPED -> node.settings.dropTeam("/nilavu", fleet.nowMs, out);
                case TARGET_DRAINED -> node.settings.drain(changed.value(), fleet.nowMs, out);
                case SLOTS_HALVED -> targets.forEach(target -> node.settings.setSlots(target, 2));
                case TARGET_REMOVED -> list(node, false);
                case ENTRY_LAPSED -> {
                    list(node, false);
                    fleet.at(fleet.nowMs + 20 + random.nextInt(500), () -> list(node, true));
                }
                default -> list(node, true);
            }
            node.execute(out);
        }

        private void list(VirtualFleet.Node informed, boolean complete) {
            fleet.listAt(
                    node -> node == informed, host -> complete || !host.name().equals(changed.value()));
        }

        int retried() {
            return (int) sent.stream().filter(request -> request.failedRuns > 0).count();
        }

        List<String> faults() {
            return sent.stream()
                    .filter(request -> request.replies != 1 || !request.completed() && !mayBeRefused(request))
                    .map(request -> "seed %d, %s of %s, silent %s, %d replies: %s"
                            .formatted(seed, change, changed, silence, request.replies, request))
                    .toList();
        }

        private static boolean mayBeRefused(SentRequest request) {
            boolean late = request.endedAtMs - request.sentAtMs >= request.work.deadlineMs();
            return request.reply instanceof Refusal && (!request.partReceived || late);
        }
    }
}
