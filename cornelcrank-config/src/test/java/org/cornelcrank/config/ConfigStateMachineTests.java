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
    void changeIsAnsweredWithItsVersionAndInForceEverywhereWithinASecond() {
        startAll("a1", "a2", "b1");

        long number = cluster.nodes.get("a1").ask(change(SHARE, 0, "5"));
        cluster.runFor(1_000);

        assertThat(cluster.nodes.get("a1").replies.get(number))
                .isEqualTo(new SettingChangedReply(SHARE, 1, Optional.of("5")));
        for (ConfigCluster.Node node : cluster.nodes.values()) {
            assertThat(node.value(SHARE)).as(node.host).contains("5");
        }
    }

    @Test
    void ofTwoOperatorsWhoRaceOneWinsAndTheOtherLearnsThePresentVersion() {
        startAll("a1", "b1");

        long first = cluster.nodes.get("a1").ask(change(SHARE, 0, "5"));
        long second = cluster.nodes.get("b1").ask(change(SHARE, 0, "7"));
        cluster.runFor(5_000);

        List<CallerReply> replies = List.of(
                cluster.nodes.get("a1").replies.get(first),
                cluster.nodes.get("b1").replies.get(second));
        assertThat(replies).filteredOn(SettingChangedReply.class::isInstance).hasSize(1);
        assertThat(replies)
                .filteredOn(Refusal.class::isInstance)
                .singleElement()
                .satisfies(reply -> {
                    assertThat(((Refusal) reply).code()).isEqualTo(RefusalCode.CONFLICT);
                    assertThat(((Refusal) reply).message()).contains("version 1");
                });
        assertThat(cluster.nodes.get("a1").value(SHARE))
                .isEqualTo(cluster.nodes.get("b1").value(SHARE));
    }

    @Test
    void lostAppendAnswerIsSettledByReading() {
        startAll("a1");
        cluster.log.loseNextAnswer();

        assertThat(cluster.nodes.get("a1").set(SHARE, "5"))
                .isEqualTo(new SettingChangedReply(SHARE, 1, Optional.of("5")));
    }

    @Test
    void appendThatReachesTheLogTwiceCountsOnce() {
        startAll("a1", "a2");
        cluster.log.repeatNextAppend();
        cluster.nodes.get("a1").set(SHARE, "5");
        cluster.nodes.get("a2").set(SHARE, "6");

        assertThat(cluster.log.nextOffset()).isEqualTo(3);
        assertThat(cluster.nodes.get("a1").entry(SHARE)).contains(new SettingEntry(SHARE, Optional.of("6"), 3));
    }

    @Test
    void repeatedAppendOfAVoidChangeStaysVoidThoughItsVersionComesLater() {
        startAll("a1");
        cluster.log.repeatNextAppend();

        CallerReply reply = cluster.nodes.get("a1").askAndWait(change(SHARE, 1, "9"));

        assertThat(reply).isInstanceOf(Refusal.class);
        assertThat(cluster.log.nextOffset()).isEqualTo(2);
        assertThat(cluster.nodes.get("a1").value(SHARE)).isEmpty();
    }

    @Test
    void changeDuringAnOutageIsRefusedAsNotRun() {
        startAll("a1");
        cluster.log.out = true;

        Refusal refusal = (Refusal) cluster.nodes.get("a1").set(SHARE, "5");

        assertThat(refusal.code()).isEqualTo(RefusalCode.STORE_UNAVAILABLE);
        assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
        cluster.log.out = false;
        cluster.runFor(20_000);
        assertThat(cluster.nodes.get("a1").value(SHARE)).isEmpty();
    }

    @Test
    void changeWhoseAnswerIsLostBeforeAnOutageMayHaveRunAndDoesShow() {
        startAll("a1");
        cluster.log.loseNextAnswer();
        long number = cluster.nodes.get("a1").ask(change(SHARE, 0, "5"));
        cluster.runFor(6);
        cluster.log.out = true;
        cluster.runFor(10_000);

        CallerReply reply = cluster.nodes.get("a1").replies.get(number);
        assertThat(reply).isInstanceOfSatisfying(Refusal.class, refusal -> assertThat(refusal.verdict())
                .isEqualTo(Verdict.MAY_HAVE_RUN));
        cluster.log.out = false;
        cluster.runFor(20_000);
        assertThat(cluster.nodes.get("a1").value(SHARE)).contains("5");
    }

    @Test
    void dataCentreThatSeesOnlyItsPeersStaysCurrentWithinEightSeconds() {
        startAll("a1", "a2", "b1", "b2", "b3");
        cluster.cutFromLog(host -> host.startsWith("b"));
        cluster.runFor(30_000);

        cluster.nodes.get("a1").ask(change(SHARE, 0, "5"));
        cluster.runFor(8_000);

        for (ConfigCluster.Node node : cluster.nodes.values()) {
            assertThat(node.value(SHARE)).as(node.host).contains("5");
        }
    }

    @Test
    void daemonThatStartsDuringAnOutageTakesTheSettingsOfItsPeers() {
        startAll("a1", "a2", "b1");
        cluster.nodes.get("a1").set(SHARE, "5");
        cluster.log.out = true;

        ConfigCluster.Node late = cluster.start("a9");
        assertThat(late.duty.ready()).isFalse();
        cluster.runFor(10_000);

        assertThat(late.duty.ready()).isTrue();
        assertThat(late.value(SHARE)).contains("5");
    }

    @Test
    void loneDaemonWithoutTheLogIsNotReady() {
        cluster.log.out = true;
        startAll("a1", "a2");

        cluster.runFor(600_000);
        assertThat(cluster.nodes.get("a1").duty.ready()).isFalse();

        cluster.log.out = false;
        cluster.runFor(10_000);
        assertThat(cluster.nodes.get("a1").duty.ready()).isTrue();
    }

    @Test
    void daemonThatStartsAfterRecordsExpiredReadsTheSnapshot() {
        startAll("a1", "a2");
        cluster.nodes.get("a1").set(SHARE, "5");
        cluster.nodes.get("a1").set("/nilavu/urgency", "immediate");
        cluster.nodes.get("a1").askAndWait(new ChangeSetting(SHARE, Optional.of(1L), Optional.empty()));
        cluster.runFor(3 * 3_600_000);
        cluster.log.expireBefore(3);

        ConfigCluster.Node late = cluster.start("b1");
        cluster.cutPeers((from, to) -> true);
        cluster.runFor(20_000);

        assertThat(late.duty.ready()).isTrue();
        assertThat(late.value("/nilavu/urgency")).contains("immediate");
        assertThat(late.entry(SHARE)).contains(new SettingEntry(SHARE, Optional.empty(), 3));
    }

    @Test
    void onlyOneDaemonWritesTheSnapshot() {
        startAll("a1", "a2", "a3", "b1", "b2", "b3");
        cluster.nodes.get("a1").set(SHARE, "5");

        cluster.runFor(90 * 60_000);

        assertThat(cluster.log.nextOffset()).isEqualTo(2);
    }

    @Test
    void changeThatRacesWithASnapshotSurvives() {
        startAll("a1", "a2");
        cluster.nodes.get("a1").set(SHARE, "5");
        cluster.runFor(3 * 3_600_000);
        // Puts a change between what the snapshot covers and the snapshot itself.
        FakeConfigurationLog racing = new FakeConfigurationLog();
        racing.write(cluster.log.records().get(0).payload(), 0);
        racing.write(
                ConfigurationRecordCodec.encode(new ConfigurationRecord(
                        "racer", 1, new ConfigurationRecord.SettingChanged(SHARE, 1, Optional.of("8")))),
                0);
        racing.write(cluster.log.records().get(1).payload(), 0);
        racing.expireBefore(1);

        ConfigCluster other = new ConfigCluster(4);
        racing.records().forEach(record -> other.log.write(record.payload(), 0));
        other.log.expireBefore(1);
        ConfigCluster.Node reader = other.start("a1");
        other.runFor(20_000);

        assertThat(reader.entry(SHARE)).contains(new SettingEntry(SHARE, Optional.of("8"), 2));
    }

    @Test
    void onlyOperatorsMayReadAndChange() {
        startAll("a1");
        ConfigCluster.Node node = cluster.nodes.get("a1");
        Caller caller = new Caller(new TeamPath("/nilavu"), "key", Caller.Scope.CALLER);

        long set = node.ask(caller, change(SHARE, 0, "5"));
        long list = node.ask(caller, new ListSettings("/"));
        cluster.runFor(10_000);

        assertThat(List.of(node.replies.get(set), node.replies.get(list)))
                .allSatisfy(reply -> assertThat(((Refusal) reply).code()).isEqualTo(RefusalCode.FORBIDDEN));
        assertThat(cluster.log.nextOffset()).isZero();
    }

    @Test
    void watchWaitsForAChangeBelowItsPrefixOnly() {
        startAll("a1");
        ConfigCluster.Node node = cluster.nodes.get("a1");
        long number = node.ask(new WatchSettings("/nilavu", 0, 30_000));

        node.set("/nilavuu/share", "2");
        assertThat(node.replies).doesNotContainKey(number);
        node.set("/nilavu/kiosk/share", "3");

        assertThat(((SettingList) node.replies.get(number)).entries())
                .extracting(SettingEntry::path)
                .containsExactly("/nilavu/kiosk/share");
    }

    @Test
    void watchWithoutAChangeEndsEmpty() {
        startAll("a1");
        long number = cluster.nodes.get("a1").ask(new WatchSettings("/nilavu", 0, 30_000));
        cluster.runFor(29_000);
        assertThat(cluster.nodes.get("a1").replies).doesNotContainKey(number);
        cluster.runFor(2_000);

        assertThat(((SettingList) cluster.nodes.get("a1").replies.get(number)).entries())
                .isEmpty();
    }

    @Test
    void dumpShowsSettingsButNoHashesOfKeys() {
        startAll("a1");
        String hash = "0011223344556677";
        cluster.nodes.get("a1").set(SHARE, "517");
        cluster.nodes.get("a1").set("/nilavu/api-keys/k1", hash + ":" + hash + ":caller");
        List<Object> cells = new ArrayList<>();

        cluster.nodes.get("a1").duty.dump(collector(cells), cluster.nowMs());

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
