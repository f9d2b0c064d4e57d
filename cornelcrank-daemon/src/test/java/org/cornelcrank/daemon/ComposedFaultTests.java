package org.cornelcrank.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.protobuf.ByteString;
import org.cornelcrank.batch.AddItems;
import org.cornelcrank.batch.CreateJob;
import org.cornelcrank.batch.FileOpened;
import org.cornelcrank.batch.FileSealed;
import org.cornelcrank.batch.GetJob;
import org.cornelcrank.batch.ItemsAdded;
import org.cornelcrank.batch.JobInfo;
import org.cornelcrank.batch.JobState;
import org.cornelcrank.batch.OpenFile;
import org.cornelcrank.batch.ReadResults;
import org.cornelcrank.batch.ResultLine;
import org.cornelcrank.batch.ResultPage;
import org.cornelcrank.batch.SealFile;
import org.cornelcrank.call.CallRequest;
import org.cornelcrank.call.CallResponse;
import org.cornelcrank.config.ChangeSetting;
import org.cornelcrank.config.ReadSetting;
import org.cornelcrank.config.SettingChangedReply;
import org.cornelcrank.config.SettingList;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.FileId;
import org.cornelcrank.core.HostId;
import org.cornelcrank.core.PartitionId;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.StateMachine;
import org.cornelcrank.core.Urgency;
import org.cornelcrank.core.Verdict;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Injects crashes, pauses and log failures into composed daemons during a batch job, a guarded call and a change of
 * settings.
 *
 * <p>A case is identified by its seed and the number of the effect at which the fault occurs.
 */
class ComposedFaultTests {

    private static final HostId FIRST = new HostId("entry-1");
    private static final HostId SECOND = new HostId("entry-2");
    private static final HostId THIRD = new HostId("entry-3");
    private static final int ITEMS = 30;
    private static final long RECOVERY_GOAL_MS = 5_000;

    @Test
    void everyJobItemEndsExactlyOnceWhereverTheOwnerCrashes() {
        for (int effectNumber = 1; effectNumber <= 120; effectNumber += 7) {
            int number = effectNumber;
            VirtualDaemons daemons = VirtualDaemons.serving(effectNumber, 3, 2);
            JobInfo job = createJob(daemons, FIRST);
            HostId owner = ownerOf(daemons, job);
            daemons.onEffect(point -> crash(daemons, point, owner, number));
            awaitEnd(daemons, survivor(owner), job, "crash of " + owner + " at its effect " + number);
            assertThat(daemons.cores).as("crash at effect " + number).doesNotContainKey(owner);
        }
    }

    @Test
    void everyJobItemEndsExactlyOnceWhenTheOwnerPausesAndResumes() {
        for (int effectNumber = 1; effectNumber <= 100; effectNumber += 11) {
            int number = effectNumber;
            VirtualDaemons daemons = VirtualDaemons.serving(effectNumber, 3, 2);
            JobInfo job = createJob(daemons, FIRST);
            HostId owner = ownerOf(daemons, job);
            daemons.onEffect(point -> pause(daemons, point, owner, number));
            daemons.runFor(8_000);
            daemons.paused.clear();
            awaitEnd(daemons, survivor(owner), job, "pause of " + owner + " at its effect " + number);
        }
    }

    @Test
    void everyJobItemEndsExactlyOnceWhenAppendResponsesAreLostAndTheOwnerCrashes() {
        for (int effectNumber = 5; effectNumber <= 100; effectNumber += 13) {
            int number = effectNumber;
            VirtualDaemons daemons = VirtualDaemons.serving(effectNumber, 3, 2);
            JobInfo job = createJob(daemons, FIRST);
            HostId owner = ownerOf(daemons, job);
            daemons.log.loseResponses(3);
            daemons.onEffect(point -> crash(daemons, point, owner, number));
            awaitEnd(
                    daemons,
                    survivor(owner),
                    job,
                    "lost responses, then crash of " + owner + " at its effect " + number);
            assertThat(daemons.cores).as("crash at effect " + number).doesNotContainKey(owner);
        }
    }

    @Test
    void everyJobItemEndsExactlyOnceWhenTheOwnerCrashesDuringALogOutage() {
        VirtualDaemons daemons = VirtualDaemons.serving(5, 3, 2);
        JobInfo job = createJob(daemons, FIRST);
        HostId owner = ownerOf(daemons, job);
        daemons.log.setUnavailable(true);
        daemons.runFor(4_000);
        daemons.crash(owner);
        daemons.runFor(20_000);
        daemons.log.setUnavailable(false);
        awaitEnd(daemons, survivor(owner), job, "log outage and crash of " + owner);
    }

    @Test
    void itemsRunElsewhereWithinTheRecoveryGoalAfterTheOwnerCrashes() {
        long worstMs = 0;
        for (int seed = 1; seed <= 8; seed++) {
            VirtualDaemons daemons = VirtualDaemons.serving(seed, 3, 1);
            JobInfo job = createJob(daemons, FIRST);
            HostId owner = ownerOf(daemons, job);
            daemons.crash(owner);
            long lostAtMs = daemons.nowMs();
            int runsBefore = daemons.runs.size();
            assertThat(daemons.runUntil(() -> daemons.runs.size() > runsBefore, 60_000))
                    .isTrue();
            worstMs = Math.max(worstMs, daemons.nowMs() - lostAtMs);
        }
        System.out.println(
                "items ran elsewhere at most " + worstMs + " ms after the loss of their owner (virtual time)");
        assertThat(worstMs).isLessThan(RECOVERY_GOAL_MS);
    }

    @Test
    void resentGuardedCallRunsAtMostOnceWhereverItsOwnerCrashes() {
        for (int effectNumber = 1; effectNumber <= 60; effectNumber += 3) {
            int number = effectNumber;
            VirtualDaemons daemons = VirtualDaemons.serving(effectNumber, 3, 2);
            HostId owner = ownerOfCall(daemons, "van-7");
            daemons.onEffect(point -> crash(daemons, point, owner, number));
            daemons.submit(survivor(owner), VirtualDaemons.CALLER, call(daemons, "van-7"));
            daemons.runFor(10_000);
            CallerReply resent = daemons.submitAndWait(
                    survivor(owner), VirtualDaemons.CALLER, call(daemons, "van-7"), CallerReply.class);
            assertAtMostOnce(daemons, resent, "crash of " + owner + " at its effect " + number);
        }
    }

    @Test
    void guardedCallRunsAtMostOnceWhenItsOwnerPausesAndResumes() {
        for (int effectNumber = 1; effectNumber <= 60; effectNumber += 5) {
            int number = effectNumber;
            VirtualDaemons daemons = VirtualDaemons.serving(effectNumber, 3, 2);
            HostId owner = ownerOfCall(daemons, "van-8");
            daemons.onEffect(point -> pause(daemons, point, owner, number));
            daemons.submit(survivor(owner), VirtualDaemons.CALLER, call(daemons, "van-8"));
            daemons.runFor(8_000);
            daemons.submit(survivor(owner), VirtualDaemons.CALLER, call(daemons, "van-8"));
            daemons.paused.clear();
            daemons.runFor(5_000);
            CallerReply resent = daemons.submitAndWait(
                    survivor(owner), VirtualDaemons.CALLER, call(daemons, "van-8"), CallerReply.class);
            assertAtMostOnce(daemons, resent, "pause of " + owner + " at its effect " + number);
        }
    }

    @Test
    void settingChangeAlsoReachesDaemonsWithoutAccessToTheLog() {
        VirtualDaemons daemons = VirtualDaemons.serving(3, 3, 1);
        daemons.withoutLog.add(THIRD);
        daemons.runFor(2_000);
        daemons.changeSetting("/crossings/share", "7");
        daemons.runFor(8_000);
        for (HostId host : daemons.cores.keySet()) {
            assertThat(valueAt(daemons, host, "/crossings/share"))
                    .as("at " + host)
                    .isEqualTo("7");
        }
    }

    @Test
    void daemonStartedDuringALogOutageAdoptsItsPeersSettingsAndNeverReverts() {
        VirtualDaemons daemons = VirtualDaemons.serving(4, 3, 1);
        daemons.changeSetting("/crossings/share", "1");
        daemons.changeSetting("/crossings/share", "9");
        daemons.log.setUnavailable(true);
        daemons.crash(SECOND);
        daemons.runFor(5_000);
        daemons.start(SECOND);
        daemons.runFor(10_000);
        assertThat(valueAt(daemons, SECOND, "/crossings/share")).isEqualTo("9");
        daemons.log.setUnavailable(false);
        daemons.runFor(10_000);
        assertThat(valueAt(daemons, SECOND, "/crossings/share")).isEqualTo("9");
    }

    @Test
    void exactlyOneOfTwoConcurrentSettingChangesSucceeds() {
        VirtualDaemons daemons = VirtualDaemons.serving(6, 3, 1);
        ChangeSetting left = new ChangeSetting("/crossings/share", Optional.of(0L), Optional.of("2"));
        ChangeSetting right = new ChangeSetting("/crossings/share", Optional.of(0L), Optional.of("3"));
        RequestId first = daemons.submit(FIRST, VirtualDaemons.OPERATOR, left);
        RequestId second = daemons.submit(SECOND, VirtualDaemons.OPERATOR, right);
        daemons.runFor(5_000);
        List<CallerReply> replies = List.of(daemons.replies.get(first), daemons.replies.get(second));
        assertThat(replies).filteredOn(SettingChangedReply.class::isInstance).hasSize(1);
        assertThat(replies)
                .filteredOn(Refusal.class::isInstance)
                .singleElement()
                .extracting(refusal -> ((Refusal) refusal).code())
                .isEqualTo(RefusalCode.CONFLICT);
    }

    @Test
    void plannedShutdownHandsJobsOver() {
        VirtualDaemons daemons = VirtualDaemons.serving(7, 3, 1);
        JobInfo job = createJob(daemons, FIRST);
        HostId owner = ownerOf(daemons, job);
        daemons.post(owner, new Event.StopRequested());
        assertThat(daemons.runUntil(
                        () -> daemons.cores.get(owner).stateMachines().stream().allMatch(StateMachine::quiescent),
                        30_000))
                .isTrue();
        daemons.crash(owner);
        awaitEnd(daemons, survivor(owner), job, "planned shutdown of " + owner);
    }

    private static boolean crash(VirtualDaemons daemons, VirtualDaemons.EffectPoint point, HostId victim, int number) {
        if (point.number() >= number && point.host().equals(victim)) {
            daemons.crash(victim);
            return true;
        }
        return false;
    }

    private static boolean pause(VirtualDaemons daemons, VirtualDaemons.EffectPoint point, HostId victim, int number) {
        if (point.number() >= number && point.host().equals(victim)) {
            daemons.paused.add(victim);
            daemons.onEffect(later -> false);
        }
        return false;
    }

    private static HostId survivor(HostId lost) {
        return lost.equals(SECOND) ? THIRD : SECOND;
    }

    private static JobInfo createJob(VirtualDaemons daemons, HostId host) {
        FileId file = daemons.submitAndWait(
                        host,
                        VirtualDaemons.CALLER,
                        new OpenFile("rollup.jsonl", Optional.empty(), "head"),
                        FileOpened.class)
                .file();
        List<ByteString> lines = new ArrayList<>();
        for (int i = 0; i < ITEMS; i++) {
            lines.add(ByteString.copyFromUtf8(("{\"custom_id\":\"crossing-%d\",\"method\":\"POST\","
                            + "\"url\":\"/v1/chat/completions\",\"body\":{\"model\":\"%s\",\"n\":%d}}")
                    .formatted(i, VirtualDaemons.SERVICE, i)));
        }
        daemons.submitAndWait(host, VirtualDaemons.CALLER, new AddItems(file, 0, lines), ItemsAdded.class);
        daemons.submitAndWait(host, VirtualDaemons.CALLER, new SealFile(file, ITEMS, "digest"), FileSealed.class);
        CreateJob create = new CreateJob(file, "/v1/chat/completions", Optional.of("night"), 3_600_000, Map.of());
        return daemons.submitAndWait(host, VirtualDaemons.CALLER, create, JobInfo.class);
    }

    private static void awaitEnd(VirtualDaemons daemons, HostId host, JobInfo job, String description) {
        GetJob get = new GetJob(job.job());
        boolean ended = false;
        for (int i = 0; i < 60 && !ended; i++) {
            daemons.runFor(1_000);
            CallerReply reply = daemons.submitAndWait(host, VirtualDaemons.CALLER, get, CallerReply.class);
            ended = reply instanceof JobInfo info && info.state() == JobState.COMPLETED;
        }
        assertThat(ended).as("the job ends after " + description).isTrue();
        ResultPage page = daemons.submitAndWait(
                host, VirtualDaemons.CALLER, new ReadResults(job.job(), 0, 2 * ITEMS), ResultPage.class);
        assertThat(page.lines()).as(description).hasSize(ITEMS).noneMatch(ResultLine::failed);
        assertThat(page.lines())
                .extracting(ResultLine::customId)
                .as(description)
                .doesNotHaveDuplicates();
    }

    private static HostId ownerOf(VirtualDaemons daemons, JobInfo job) {
        String id = job.job().value();
        return owner(daemons, id.substring("job-".length(), id.lastIndexOf('-')));
    }

    private static HostId ownerOfCall(VirtualDaemons daemons, String key) {
        String guarded = "call|" + VirtualDaemons.TEAM.team() + "|" + key;
        PartitionId partition = PartitionId.ofKey(VirtualDaemons.REGION, guarded, 4);
        return owner(daemons, partition.toString());
    }

    private static HostId owner(VirtualDaemons daemons, String partition) {
        for (HostId host : daemons.cores.keySet()) {
            StateDump dump = daemons.submitAndWait(
                    host,
                    VirtualDaemons.OPERATOR,
                    new DumpState(Optional.empty(), Optional.of("partition")),
                    StateDump.class);
            boolean owns = dump.sections().get(0).tables().get(0).rows().stream()
                    .anyMatch(row -> row.get(0).equals(partition) && row.get(1).equals("OWNING"));
            if (owns) {
                return host;
            }
        }
        throw new IllegalStateException("some daemon must own partition " + partition);
    }

    private static CallRequest call(VirtualDaemons daemons, String key) {
        return new CallRequest(
                VirtualDaemons.TEAM,
                new ServiceName(VirtualDaemons.PLAIN_SERVICE),
                "POST",
                "/vans",
                "application/json",
                ByteString.copyFromUtf8("{\"barrier\":17}"),
                Optional.of(key),
                daemons.nowMs() + 5_000,
                Urgency.IMMEDIATE);
    }

    /** Asserts that the van was dispatched at most once, and that the reply to the caller is consistent with that. */
    private static void assertAtMostOnce(VirtualDaemons daemons, CallerReply reply, String description) {
        long sent = daemons.runs.stream()
                .filter(run -> run.target().value().equals("dispatch-1"))
                .count();
        assertThat(sent).as(description).isLessThanOrEqualTo(1);
        if (reply instanceof CallResponse) {
            assertThat(sent).as(description).isEqualTo(1);
        } else if (reply instanceof Refusal refusal && refusal.verdict() instanceof Verdict.NotRun) {
            assertThat(sent).as(description + ": " + refusal.message()).isZero();
        }
    }

    private static String valueAt(VirtualDaemons daemons, HostId host, String path) {
        SettingList list =
                daemons.submitAndWait(host, VirtualDaemons.OPERATOR, new ReadSetting(path), SettingList.class);
        return list.entries().get(0).value().orElse("");
    }
}
