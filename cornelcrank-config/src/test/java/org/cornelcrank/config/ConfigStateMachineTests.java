package org.cornelcrank.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.cornelcrank.core.Caller;
import org.cornelcrank.core.CallerReply;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.StateWriter;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.core.Verdict;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigStateMachineTests {

    private static final String SHARE = "/nilavu/share";

    private final ConfigCluster cluster = new ConfigCluster(3);

    @Test
    void changeIsConfirmedAndInEffectOnAllDaemonsWithinOneSecond() {
        startAll("a1", "a2", "b1");

        long number = cluster.daemons.get("a1").send(change(SHARE, 0, "5"));
        cluster.runFor(1_000);

        assertThat(cluster.daemons.get("a1").replies.get(number))
                .isEqualTo(new SettingChangedReply(SHARE, 1, Optional.of("5")));
        for (ConfigCluster.Daemon daemon : cluster.daemons.values()) {
            assertThat(daemon.value(SHARE)).as(daemon.host).contains("5");
        }
    }

    @Test
    void concurrentChangeIsRefusedWithCurrentVersion() {
        startAll("a1", "b1");

        long first = cluster.daemons.get("a1").send(change(SHARE, 0, "5"));
        long second = cluster.daemons.get("b1").send(change(SHARE, 0, "7"));
        cluster.runFor(5_000);

        List<CallerReply> replies = List.of(
                cluster.daemons.get("a1").replies.get(first),
                cluster.daemons.get("b1").replies.get(second));
        assertThat(replies).filteredOn(SettingChangedReply.class::isInstance).hasSize(1);
        assertThat(replies)
                .filteredOn(Refusal.class::isInstance)
                .singleElement()
                .satisfies(reply -> {
                    assertThat(((Refusal) reply).code()).isEqualTo(RefusalCode.CONFLICT);
                    assertThat(((Refusal) reply).message()).contains("version 1");
                });
        assertThat(cluster.daemons.get("a1").value(SHARE))
                .isEqualTo(cluster.daemons.get("b1").value(SHARE));
    }

    @Test
    void lostAppendResponseIsResolvedByReadBack() {
        startAll("a1");
        cluster.log.loseNextResponse();

        assertThat(cluster.daemons.get("a1").set(SHARE, "5"))
                .isEqualTo(new SettingChangedReply(SHARE, 1, Optional.of("5")));
    }

    @Test
    void duplicateAppendIsAppliedOnce() {
        startAll("a1", "a2");
        cluster.log.repeatNextAppend();
        cluster.daemons.get("a1").set(SHARE, "5");
        cluster.daemons.get("a2").set(SHARE, "6");

        assertThat(cluster.log.nextOffset()).isEqualTo(3);
        assertThat(cluster.daemons.get("a1").entry(SHARE)).contains(new SettingEntry(SHARE, Optional.of("6"), 3));
    }

    @Test
    void duplicateOfVoidChangeStaysVoid() {
        startAll("a1");
        cluster.log.repeatNextAppend();

        CallerReply reply = cluster.daemons.get("a1").sendAndWait(change(SHARE, 1, "9"));

        assertThat(reply).isInstanceOf(Refusal.class);
        assertThat(cluster.log.nextOffset()).isEqualTo(2);
        assertThat(cluster.daemons.get("a1").value(SHARE)).isEmpty();
    }

    @Test
    void changeDuringOutageIsRefusedAsNotRun() {
        startAll("a1");
        cluster.log.unavailable = true;

        Refusal refusal = (Refusal) cluster.daemons.get("a1").set(SHARE, "5");

        assertThat(refusal.code()).isEqualTo(RefusalCode.STORE_UNAVAILABLE);
        assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
        cluster.log.unavailable = false;
        cluster.runFor(20_000);
        assertThat(cluster.daemons.get("a1").value(SHARE)).isEmpty();
    }

    @Test
    void changeWithLostResponseMayHaveRunAndTakesEffect() {
        startAll("a1");
        cluster.log.loseNextResponse();
        long number = cluster.daemons.get("a1").send(change(SHARE, 0, "5"));
        cluster.runFor(6);
        cluster.log.unavailable = true;
        cluster.runFor(10_000);

        CallerReply reply = cluster.daemons.get("a1").replies.get(number);
        assertThat(reply).isInstanceOfSatisfying(Refusal.class, refusal -> assertThat(refusal.verdict())
                .isEqualTo(Verdict.MAY_HAVE_RUN));
        cluster.log.unavailable = false;
        cluster.runFor(20_000);
        assertThat(cluster.daemons.get("a1").value(SHARE)).contains("5");
    }

    @Test
    void dataCentreWithoutLogReceivesChangesFromPeersWithinEightSeconds() {
        startAll("a1", "a2", "b1", "b2", "b3");
        cluster.logUnreachableFrom(host -> host.startsWith("b"));
        cluster.runFor(30_000);

        cluster.daemons.get("a1").send(change(SHARE, 0, "5"));
        cluster.runFor(8_000);

        for (ConfigCluster.Daemon daemon : cluster.daemons.values()) {
            assertThat(daemon.value(SHARE)).as(daemon.host).contains("5");
        }
    }

    @Test
    void daemonStartedDuringOutageReceivesSettingsFromPeers() {
        startAll("a1", "a2", "b1");
        cluster.daemons.get("a1").set(SHARE, "5");
        cluster.log.unavailable = true;

        ConfigCluster.Daemon late = cluster.start("a9");
        assertThat(late.stateMachine.ready()).isFalse();
        cluster.runFor(10_000);

        assertThat(late.stateMachine.ready()).isTrue();
        assertThat(late.value(SHARE)).contains("5");
    }

    @Test
    void daemonsWithoutSettingsAreNotReadyDuringOutage() {
        cluster.log.unavailable = true;
        startAll("a1", "a2");

        cluster.runFor(600_000);
        assertThat(cluster.daemons.get("a1").stateMachine.ready()).isFalse();

        cluster.log.unavailable = false;
        cluster.runFor(10_000);
        assertThat(cluster.daemons.get("a1").stateMachine.ready()).isTrue();
    }

    @Test
    void daemonStartedAfterRecordsExpiredReadsSnapshot() {
        startAll("a1", "a2");
        cluster.daemons.get("a1").set(SHARE, "5");
        cluster.daemons.get("a1").set("/nilavu/urgency", "immediate");
        cluster.daemons.get("a1").sendAndWait(new ChangeSetting(SHARE, Optional.of(1L), Optional.empty()));
        cluster.runFor(3 * 3_600_000);
        cluster.log.expireBefore(3);

        ConfigCluster.Daemon late = cluster.start("b1");
        cluster.peersUnreachable((from, to) -> true);
        cluster.runFor(20_000);

        assertThat(late.stateMachine.ready()).isTrue();
        assertThat(late.value("/nilavu/urgency")).contains("immediate");
        assertThat(late.entry(SHARE)).contains(new SettingEntry(SHARE, Optional.empty(), 3));
    }

    @Test
    void onlyOneDaemonWritesTheSnapshot() {
        startAll("a1", "a2", "a3", "b1", "b2", "b3");
        cluster.daemons.get("a1").set(SHARE, "5");

        cluster.runFor(90 * 60_000);

        assertThat(cluster.log.nextOffset()).isEqualTo(2);
    }

    @Test
    void changeConcurrentWithSnapshotIsKept() {
        startAll("a1", "a2");
        cluster.daemons.get("a1").set(SHARE, "5");
        cluster.runFor(3 * 3_600_000);
        // Inserts a change between the last record that the snapshot covers and the snapshot itself.
        FakeConfigurationLog log = new FakeConfigurationLog();
        log.write(cluster.log.records().get(0).payload(), 0);
        log.write(
                ConfigurationRecordCodec.encode(new ConfigurationRecord(
                        "racer", 1, new ConfigurationRecord.SettingChanged(SHARE, 1, Optional.of("8")))),
                0);
        log.write(cluster.log.records().get(1).payload(), 0);
        log.expireBefore(1);

        ConfigCluster other = new ConfigCluster(4);
        log.records().forEach(record -> other.log.write(record.payload(), 0));
        other.log.expireBefore(1);
        ConfigCluster.Daemon reader = other.start("a1");
        other.runFor(20_000);

        assertThat(reader.entry(SHARE)).contains(new SettingEntry(SHARE, Optional.of("8"), 2));
    }

    @Test
    void onlyOperatorsMayReadAndChangeSettings() {
        startAll("a1");
        ConfigCluster.Daemon daemon = cluster.daemons.get("a1");
        Caller caller = new Caller(new TeamPath("/nilavu"), "key", Caller.Scope.CALLER);

        long set = daemon.send(caller, change(SHARE, 0, "5"));
        long list = daemon.send(caller, new ListSettings("/"));
        cluster.runFor(10_000);

        assertThat(List.of(daemon.replies.get(set), daemon.replies.get(list)))
                .allSatisfy(reply -> assertThat(((Refusal) reply).code()).isEqualTo(RefusalCode.FORBIDDEN));
        assertThat(cluster.log.nextOffset()).isZero();
    }

    @Test
    void watchReturnsOnlyChangesBelowItsPrefix() {
        startAll("a1");
        ConfigCluster.Daemon daemon = cluster.daemons.get("a1");
        long number = daemon.send(new WatchSettings("/nilavu", 0, 30_000));

        daemon.set("/nilavuu/share", "2");
        assertThat(daemon.replies).doesNotContainKey(number);
        daemon.set("/nilavu/kiosk/share", "3");

        assertThat(((SettingList) daemon.replies.get(number)).entries())
                .extracting(SettingEntry::path)
                .containsExactly("/nilavu/kiosk/share");
    }

    @Test
    void watchWithoutChangeReturnsEmptyList() {
        startAll("a1");
        long number = cluster.daemons.get("a1").send(new WatchSettings("/nilavu", 0, 30_000));
        cluster.runFor(29_000);
        assertThat(cluster.daemons.get("a1").replies).doesNotContainKey(number);
        cluster.runFor(2_000);

        assertThat(((SettingList) cluster.daemons.get("a1").replies.get(number)).entries())
                .isEmpty();
    }

    @Test
    void dumpShowsSettingsButNoKeyHashes() {
        startAll("a1");
        String hash = "0011223344556677";
        cluster.daemons.get("a1").set(SHARE, "517");
        cluster.daemons.get("a1").set("/nilavu/api-keys/k1", hash + ":" + hash + ":caller");
        List<Object> cells = new ArrayList<>();

        cluster.daemons.get("a1").stateMachine.dump(collector(cells), cluster.nowMs());

        assertThat(cells).contains(SHARE, "517", "/nilavu/api-keys/k1", "(hidden)");
        assertThat(cells.toString()).doesNotContain(hash);
    }

    private static StateWriter collector(List<Object> cells) {
        return new StateWriter() {
            @Override
            public StateWriter field(String name, Object value) {
                return this;
            }

            @Override
            public StateWriter table(String name, String... columns) {
                return this;
            }

            @Override
            public StateWriter row(Object... row) {
                cells.addAll(List.of(row));
                return this;
            }
        };
    }

    private void startAll(String... hosts) {
        for (String host : hosts) {
            cluster.start(host);
        }
        cluster.runFor(1_000);
    }

    private static ChangeSetting change(String path, long expectedVersion, String value) {
        return new ChangeSetting(path, Optional.of(expectedVersion), Optional.of(value));
    }
}
