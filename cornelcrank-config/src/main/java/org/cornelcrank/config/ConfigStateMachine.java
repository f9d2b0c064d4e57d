package org.cornelcrank.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.core.Caller;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Event;
import org.cornelcrank.core.MembershipView;
import org.cornelcrank.core.Refusal;
import org.cornelcrank.core.RefusalCode;
import org.cornelcrank.core.RequestId;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.StateMachine;
import org.cornelcrank.core.StateWriter;
import org.cornelcrank.core.StreamName;
import org.cornelcrank.core.Subject;
import org.cornelcrank.core.TargetId;
import org.cornelcrank.core.TeamPath;
import org.cornelcrank.core.TimerKey;

/**
 * Keeps the operators' settings in force at this daemon, and changes them through the log.
 *
 * <p>Invariants: a path never goes back to an older version; a change is acknowledged only after it was read back as in
 * effect; the settings are not ready before the log or other daemons have told them whole. Not thread-safe: confined to the
 * daemon's event loop.
 */
public final class ConfigStateMachine implements StateMachine, Settings {

    static final String NAME = "config";

    private final String writer;
    private final ConfigSettings settings;
    private final SettingTable table = new SettingTable();
    private final PolicyResolver policies = new PolicyResolver(table);
    private final ConfigurationLog log;
    private final LogTail tail;
    private final ChangeQueue queue;
    private final Watchers watchers;
    private final PeerExchange peers;
    private final SnapshotWriter snapshots;
    private final List<SettingsListener> listeners = new ArrayList<>();
    private boolean ready;
    private boolean logAnswered;

    public ConfigStateMachine(
            DaemonIdentity identity,
            MembershipView membership,
            ConfigSettings settings,
            MetricRegistry metrics,
            RandomGenerator random) {
        Objects.requireNonNull(identity, "identity must not be null");
        Objects.requireNonNull(membership, "membership must not be null");
        Objects.requireNonNull(metrics, "metrics must not be null");
        Objects.requireNonNull(random, "random must not be null");
        this.settings = Objects.requireNonNull(settings, "settings must not be null");
        this.writer = identity.writer();
        this.log = new ConfigurationLog(table, metrics);
        this.tail = new LogTail(settings, random);
        this.queue = new ChangeQueue(writer, settings);
        this.watchers = new Watchers(table);
        this.peers = new PeerExchange(membership, settings, table, random, metrics);
        this.snapshots = new SnapshotWriter(membership, settings, table, log, queue, random, metrics);
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public long version() {
        return Math.max(log.completeBefore(), peers.completeUpTo());
    }

    @Override
    public boolean ready() {
        return ready;
    }

    @Override
    public Optional<TeamPolicy> team(TeamPath team) {
        return policies.team(team);
    }

    @Override
    public Collection<TeamPath> teams() {
        return policies.teams();
    }

    @Override
    public Optional<ServicePolicy> service(ServiceName service) {
        return policies.service(service);
    }

    @Override
    public Collection<ServiceName> services() {
        return policies.services();
    }

    @Override
    public TargetPolicy target(TargetId target) {
        return policies.target(target);
    }

    @Override
    public Optional<ApiKeyEntry> apiKey(String keyId) {
        return policies.apiKey(keyId);
    }

    @Override
    public void subscribe(SettingsListener listener) {
        listeners.add(Objects.requireNonNull(listener, "listener must not be null"));
    }

    @Override
    public void on(Event event, long nowMs, Effects out) {
        if (event instanceof Event.Started) {
            tail.read(log.nextOffset(), nowMs, out);
            peers.askNext(false, version(), nowMs, out);
            snapshots.start(nowMs, out);
        } else if (event instanceof Event.TimerDue timer) {
            timerDue(timer.key(), nowMs, out);
        } else if (event instanceof Event.PeerMessageReceived received) {
            messageReceived(received, nowMs, out);
        } else if (event instanceof Event.CommandReceived arrived) {
            commandReceived(arrived, nowMs, out);
        } else if (event instanceof Event.CallerDisconnected left) {
            watchers.remove(left.request());
            queue.callerDisconnected(left.request());
        } else {
            logAnswered(event, nowMs, out);
        }
    }

    @Override
    public void dump(StateWriter writer, long nowMs) {
        writer.field("ready", ready);
        writer.field("version", version());
        writer.field("nextOffset", log.nextOffset());
        writer.field("logAnswers", tail.answers());
        writer.field("caughtUp", log.caughtUp());
        writer.field("missingRecords", log.isMissingRecords());
        writer.field("lastSnapshotAtMs", log.lastSnapshotAtMs());
        writer.field("peersAnswered", peers.answered());
        writer.field("pendingChanges", queue.size());
        writer.field("watchers", watchers.size());
        writer.table("settings", "path", "version", "foldedVersion", "value");
        for (SettingEntry entry : table.below("")) {
            writer.row(entry.path(), entry.version(), table.foldedVersion(entry.path()), shown(entry));
        }
    }

    private void timerDue(TimerKey key, long nowMs, Effects out) {
        if (key.equals(LogTail.TIMER)) {
            tail.timerDue(log.nextOffset(), nowMs, out);
            noteLogState(out);
        } else if (key.equals(ChangeQueue.TIMER)) {
            queue.review(nowMs, out);
        } else if (key.equals(PeerExchange.TIMER)) {
            peers.askNext(tail.answers() && log.caughtUp(), version(), nowMs, out);
            reviewReadiness(nowMs, out);
        } else if (key.equals(SnapshotWriter.TIMER)) {
            snapshots.review(tail.answers(), nowMs, out);
        } else if (key.equals(Watchers.TIMER)) {
            watchers.expire(version(), nowMs, out);
        }
    }

    private void logAnswered(Event event, long nowMs, Effects out) {
        if (event instanceof Event.LogRead read && tail.accepts(read)) {
            judged(log.fold(read), nowMs, out);
            tail.read(log.nextOffset(), nowMs, out);
            noteLogState(out);
            reviewReadiness(nowMs, out);
        } else if (event instanceof Event.LogReadFailed failure) {
            tail.failed(failure, nowMs, out);
            noteLogState(out);
        } else if (event instanceof Event.Appended appended && isConfiguration(appended.stream())) {
            queue.appended(appended.appendNumber(), nowMs, out);
        } else if (event instanceof Event.AppendFailed failure && isConfiguration(failure.stream())) {
            queue.appendFailed(failure, nowMs, out);
        }
    }

    private void messageReceived(Event.PeerMessageReceived received, long nowMs, Effects out) {
        if (received.message() instanceof ConfigMessage.ChangesRequest request && ready) {
            peers.answer(received.from(), request.afterVersion(), version(), out);
        } else if (received.message() instanceof ConfigMessage.Changes changes) {
            List<String> changed = peers.take(received.from(), changes, version(), nowMs, out);
            inForce(changed, nowMs, out);
            reviewReadiness(nowMs, out);
        }
    }

    private void judged(List<ConfigurationLog.Judgement> judgements, long nowMs, Effects out) {
        List<String> changed = new ArrayList<>();
        for (ConfigurationLog.Judgement judgement : judgements) {
            SettingEntry entry = judgement.entry();
            if (judgement.effective()) {
                changed.add(entry.path());
            }
            if (log.caughtUp()) {
                String decision = judgement.effective() ? "change" : "refuse change";
                String reason = "record of " + judgement.writer() + "; now at version " + entry.version();
                out.explain(Subject.Kind.SETTING, entry.path(), nowMs, decision, reason);
            }
        }
        inForce(changed, nowMs, out);
        for (ConfigurationLog.Judgement judgement : judgements) {
            if (judgement.writer().equals(writer)) {
                queue.readBack(judgement.sequence(), nowMs, out).ifPresent(request -> answer(request, judgement, out));
            }
        }
    }

    private static void answer(RequestId request, ConfigurationLog.Judgement judgement, Effects out) {
        SettingEntry entry = judgement.entry();
        if (judgement.effective()) {
            out.reply(request, new SettingChangedReply(entry.path(), entry.version(), entry.value()));
        } else {
            out.reply(request, conflict(entry.path(), entry.version()));
        }
    }

    private void inForce(List<String> paths, long nowMs, Effects out) {
        if (paths.isEmpty()) {
            return;
        }
        paths.forEach(policies::changed);
        watchers.changed(version(), out);
        for (SettingsListener listener : listeners) {
            listener.settingsChanged(nowMs, out);
        }
    }

    private void reviewReadiness(long nowMs, Effects out) {
        if (!ready && (log.caughtUp() || peers.hasState(nowMs))) {
            ready = true;
            String source = log.caughtUp() ? "the log" : peers.answered() + " other daemons";
            out.add(new Effect.StateChanged(NAME, "settings are ready at version " + version() + " from " + source));
            for (SettingsListener listener : listeners) {
                listener.settingsChanged(nowMs, out);
            }
        }
    }

    private void noteLogState(Effects out) {
        if (logAnswered != tail.answers()) {
            logAnswered = tail.answers();
            String text = logAnswered ? "log answers" : "log does not answer; settings come from other daemons";
            out.add(new Effect.StateChanged(NAME, text));
        }
    }

    private void commandReceived(Event.CommandReceived arrived, long nowMs, Effects out) {
        RequestId request = arrived.request();
        if (!isOfThisSlice(arrived)) {
            return;
        }
        if (arrived.caller().scope() != Caller.Scope.OPERATOR) {
            out.reply(request, Refusal.notRun(RefusalCode.FORBIDDEN, "settings need the scope operator"));
        } else if (arrived.command() instanceof ChangeSetting change) {
            change(request, change, nowMs, out);
        } else if (!ready) {
            out.reply(request, Refusal.notRun(RefusalCode.NOT_READY, "settings are not known yet", 1_000));
        } else if (arrived.command() instanceof ReadSetting read) {
            read(request, read, out);
        } else if (arrived.command() instanceof ListSettings list) {
            List<SettingEntry> set = table.below(list.prefix()).stream()
                    .filter(entry -> entry.value().isPresent())
                    .toList();
            out.reply(request, new SettingList(set, version()));
        } else if (arrived.command() instanceof WatchSettings watch) {
            watch(request, watch, nowMs, out);
        }
    }

    private void change(RequestId request, ChangeSetting change, long nowMs, Effects out) {
        Optional<Refusal> refusal = refusalOf(change);
        if (refusal.isPresent()) {
            out.reply(request, refusal.get());
            return;
        }
        long expected = change.expectedVersion().orElse(table.version(change.path()));
        queue.submit(
                request, new ConfigurationRecord.SettingChanged(change.path(), expected, change.value()), nowMs, out);
    }

    private Optional<Refusal> refusalOf(ChangeSetting change) {
        String path = change.path();
        Optional<String> problem = change.value().flatMap(value -> SettingSchema.problem(path, value));
        if (problem.isPresent()) {
            return Optional.of(Refusal.notRun(RefusalCode.INVALID_REQUEST, problem.get()));
        }
        if (!log.caughtUp()) {
            return Optional.of(Refusal.notRun(
                    RefusalCode.STORE_UNAVAILABLE, "the log has not been read to its end yet", settings.readRetryMs()));
        }
        long present = table.version(path);
        if (change.expectedVersion().filter(expected -> expected < present).isPresent()) {
            return Optional.of(conflict(path, present));
        }
        if (change.value().isEmpty() && table.value(path).isEmpty()) {
            return Optional.of(Refusal.notRun(RefusalCode.NOT_FOUND, "setting '" + path + "' is not set"));
        }
        Optional<String> other = change.value().flatMap(value -> policies.otherPathOfApiKey(path));
        if (other.isPresent()) {
            return Optional.of(Refusal.notRun(
                    RefusalCode.CONFLICT,
                    "key id of '" + path + "' must be unique but stands at '" + other.get() + "'"));
        }
        if (queue.isFull()) {
            return Optional.of(Refusal.notRun(RefusalCode.OVERLOADED, "too many changes wait for the log", 1_000));
        }
        return Optional.empty();
    }

    private void read(RequestId request, ReadSetting read, Effects out) {
        Optional<SettingEntry> entry =
                table.find(read.path()).filter(found -> found.value().isPresent());
        if (entry.isEmpty()) {
            out.reply(request, Refusal.notRun(RefusalCode.NOT_FOUND, "setting '" + read.path() + "' is not set"));
        } else {
            out.reply(request, new SettingList(List.of(entry.get()), version()));
        }
    }

    private void watch(RequestId request, WatchSettings watch, long nowMs, Effects out) {
        if (watchers.size() >= settings.maxWatchers()) {
            out.reply(request, Refusal.notRun(RefusalCode.OVERLOADED, "too many watches are open", 1_000));
            return;
        }
        long waitMs = Math.max(0, Math.min(watch.waitMs(), settings.maxWatchMs()));
        watchers.add(request, watch, version(), nowMs + waitMs, out);
    }

    private static boolean isOfThisSlice(Event.CommandReceived arrived) {
        return arrived.command() instanceof ChangeSetting
                || arrived.command() instanceof ReadSetting
                || arrived.command() instanceof ListSettings
                || arrived.command() instanceof WatchSettings;
    }

    private static boolean isConfiguration(StreamName stream) {
        return stream.equals(ConfigurationLog.STREAM);
    }

    private static Refusal conflict(String path, long presentVersion) {
        return Refusal.notRun(
                RefusalCode.CONFLICT,
                "setting '" + path + "' is at version " + presentVersion + ", not the expected one");
    }

    private static String shown(SettingEntry entry) {
        boolean hidden = SettingPath.parse(entry.path())
                .filter(path -> path.scope() == SettingSchema.Scope.API_KEY)
                .isPresent();
        return hidden ? "(hidden)" : entry.value().orElse("(deleted)");
    }
}
