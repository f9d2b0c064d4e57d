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
 * Maintains this daemon's copy of the operators' settings, and changes them through the log.
 *
 * <p>Invariants: a path never reverts to an older version; a change is acknowledged only after it was read back and
 * took effect; the settings are not ready until they have been received completely from the log or from other daemons.
 * Not thread-safe: confined to the daemon's event loop.
 */
public final class ConfigStateMachine implements StateMachine, Settings {

    static final String NAME = "config";

    private final String writer;
    private final ConfigSettings settings;
    private final SettingTable table = new SettingTable();
    private final PolicyResolver policies = new PolicyResolver(table);
    private final ConfigurationLog log;
    private final LogTail logTail;
    private final ChangeQueue changeQueue;
    private final Watchers watchers;
    private final PeerExchange peerExchange;
    private final SnapshotWriter snapshotWriter;
    private final List<SettingsListener> listeners = new ArrayList<>();
    private boolean ready;
    private boolean logAvailable;

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
        this.logTail = new LogTail(settings, random);
        this.changeQueue = new ChangeQueue(writer, settings);
        this.watchers = new Watchers(table);
        this.peerExchange = new PeerExchange(membership, settings, table, random, metrics);
        this.snapshotWriter = new SnapshotWriter(membership, settings, table, log, changeQueue, random, metrics);
    }

    @Override
    public String name() {
        return NAME;
    }

    @Override
    public long version() {
        return Math.max(log.completeBefore(), peerExchange.completeUpTo());
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
            logTail.read(log.nextOffset(), nowMs, out);
            peerExchange.requestChanges(false, version(), nowMs, out);
            snapshotWriter.start(nowMs, out);
        } else if (event instanceof Event.TimerDue due) {
            timerDue(due.key(), nowMs, out);
        } else if (event instanceof Event.PeerMessageReceived received) {
            messageReceived(received, nowMs, out);
        } else if (event instanceof Event.CommandReceived received) {
            commandReceived(received, nowMs, out);
        } else if (event instanceof Event.CallerDisconnected disconnected) {
            watchers.remove(disconnected.request());
            changeQueue.callerDisconnected(disconnected.request());
        } else {
            handleLogEvent(event, nowMs, out);
        }
    }

    @Override
    public void dump(StateWriter writer, long nowMs) {
        writer.field("ready", ready);
        writer.field("version", version());
        writer.field("nextOffset", log.nextOffset());
        writer.field("logAnswers", logTail.isLogAvailable());
        writer.field("caughtUp", log.caughtUp());
        writer.field("missingRecords", log.isMissingRecords());
        writer.field("lastSnapshotAtMs", log.lastSnapshotAtMs());
        writer.field("peersAnswered", peerExchange.repliedPeers());
        writer.field("pendingChanges", changeQueue.size());
        writer.field("watchers", watchers.size());
        writer.table("settings", "path", "version", "foldedVersion", "value");
        for (SettingEntry entry : table.entriesBelow("")) {
            writer.row(entry.path(), entry.version(), table.foldedVersion(entry.path()), displayValue(entry));
        }
    }

    private void timerDue(TimerKey key, long nowMs, Effects out) {
        if (key.equals(LogTail.TIMER)) {
            logTail.timerDue(log.nextOffset(), nowMs, out);
            reportLogState(out);
        } else if (key.equals(ChangeQueue.TIMER)) {
            changeQueue.retryOrExpire(nowMs, out);
        } else if (key.equals(PeerExchange.TIMER)) {
            peerExchange.requestChanges(logTail.isLogAvailable() && log.caughtUp(), version(), nowMs, out);
            updateReadiness(nowMs, out);
        } else if (key.equals(SnapshotWriter.TIMER)) {
            snapshotWriter.writeIfDue(logTail.isLogAvailable(), nowMs, out);
        } else if (key.equals(Watchers.TIMER)) {
            watchers.expire(version(), nowMs, out);
        }
    }

    private void handleLogEvent(Event event, long nowMs, Effects out) {
        if (event instanceof Event.LogRead read && logTail.accept(read)) {
            recordsFolded(log.fold(read), nowMs, out);
            logTail.read(log.nextOffset(), nowMs, out);
            reportLogState(out);
            updateReadiness(nowMs, out);
        } else if (event instanceof Event.LogReadFailed failure) {
            logTail.failed(failure, nowMs, out);
            reportLogState(out);
        } else if (event instanceof Event.Appended appended && isConfiguration(appended.stream())) {
            changeQueue.appended(appended.appendNumber(), nowMs, out);
        } else if (event instanceof Event.AppendFailed failure && isConfiguration(failure.stream())) {
            changeQueue.appendFailed(failure, nowMs, out);
        }
    }

    private void messageReceived(Event.PeerMessageReceived received, long nowMs, Effects out) {
        if (received.message() instanceof ConfigMessage.ChangesRequest request && ready) {
            peerExchange.reply(received.from(), request.afterVersion(), version(), out);
        } else if (received.message() instanceof ConfigMessage.Changes changes) {
            List<String> changed = peerExchange.apply(received.from(), changes, version(), nowMs, out);
            notifyChanged(changed, nowMs, out);
            updateReadiness(nowMs, out);
        }
    }

    private void recordsFolded(List<ConfigurationLog.FoldResult> results, long nowMs, Effects out) {
        List<String> changed = new ArrayList<>();
        for (ConfigurationLog.FoldResult result : results) {
            SettingEntry entry = result.entry();
            if (result.effective()) {
                changed.add(entry.path());
            }
            if (log.caughtUp()) {
                String decision = result.effective() ? "change" : "change refused";
                String reason = "record of " + result.writer() + "; now at version " + entry.version();
                out.explain(Subject.Kind.SETTING, entry.path(), nowMs, decision, reason);
            }
        }
        notifyChanged(changed, nowMs, out);
        for (ConfigurationLog.FoldResult result : results) {
            if (result.writer().equals(writer)) {
                changeQueue.readBack(result.sequence(), nowMs, out).ifPresent(request -> reply(request, result, out));
            }
        }
    }

    private static void reply(RequestId request, ConfigurationLog.FoldResult result, Effects out) {
        SettingEntry entry = result.entry();
        if (result.effective()) {
            out.reply(request, new SettingChangedReply(entry.path(), entry.version(), entry.value()));
        } else {
            out.reply(request, conflict(entry.path(), entry.version()));
        }
    }

    private void notifyChanged(List<String> paths, long nowMs, Effects out) {
        if (paths.isEmpty()) {
            return;
        }
        paths.forEach(policies::settingChanged);
        watchers.settingsChanged(version(), out);
        for (SettingsListener listener : listeners) {
            listener.settingsChanged(nowMs, out);
        }
    }

    private void updateReadiness(long nowMs, Effects out) {
        if (!ready && (log.caughtUp() || peerExchange.hasCompleteState(nowMs))) {
            ready = true;
            String source = log.caughtUp() ? "the log" : peerExchange.repliedPeers() + " other daemons";
            out.add(new Effect.StateChanged(NAME, "settings are ready at version " + version() + " from " + source));
            for (SettingsListener listener : listeners) {
                listener.settingsChanged(nowMs, out);
            }
        }
    }

    private void reportLogState(Effects out) {
        if (logAvailable != logTail.isLogAvailable()) {
            logAvailable = logTail.isLogAvailable();
            String text = logAvailable
                    ? "log is available"
                    : "log is not available; settings are received from other daemons";
            out.add(new Effect.StateChanged(NAME, text));
        }
    }

    private void commandReceived(Event.CommandReceived received, long nowMs, Effects out) {
        RequestId request = received.request();
        if (!isConfigCommand(received)) {
            return;
        }
        if (received.caller().scope() != Caller.Scope.OPERATOR) {
            out.reply(request, Refusal.notRun(RefusalCode.FORBIDDEN, "settings commands require the scope operator"));
        } else if (received.command() instanceof ChangeSetting change) {
            change(request, change, nowMs, out);
        } else if (!ready) {
            out.reply(request, Refusal.notRun(RefusalCode.NOT_READY, "settings have not been loaded yet", 1_000));
        } else if (received.command() instanceof ReadSetting read) {
            read(request, read, out);
        } else if (received.command() instanceof ListSettings list) {
            List<SettingEntry> set = table.entriesBelow(list.prefix()).stream()
                    .filter(entry -> entry.value().isPresent())
                    .toList();
            out.reply(request, new SettingList(set, version()));
        } else if (received.command() instanceof WatchSettings watch) {
            watch(request, watch, nowMs, out);
        }
    }

    private void change(RequestId request, ChangeSetting change, long nowMs, Effects out) {
        Optional<Refusal> refusal = refusalFor(change);
        if (refusal.isPresent()) {
            out.reply(request, refusal.get());
            return;
        }
        long expected = change.expectedVersion().orElse(table.version(change.path()));
        changeQueue.submit(
                request, new ConfigurationRecord.SettingChanged(change.path(), expected, change.value()), nowMs, out);
    }

    private Optional<Refusal> refusalFor(ChangeSetting change) {
        String path = change.path();
        Optional<String> problem = change.value().flatMap(value -> SettingSchema.problem(path, value));
        if (problem.isPresent()) {
            return Optional.of(Refusal.notRun(RefusalCode.INVALID_REQUEST, problem.get()));
        }
        if (!log.caughtUp()) {
            return Optional.of(Refusal.notRun(
                    RefusalCode.STORE_UNAVAILABLE, "the log has not been read to its end yet", settings.readRetryMs()));
        }
        long currentVersion = table.version(path);
        if (change.expectedVersion()
                .filter(expected -> expected < currentVersion)
                .isPresent()) {
            return Optional.of(conflict(path, currentVersion));
        }
        if (change.value().isEmpty() && table.value(path).isEmpty()) {
            return Optional.of(Refusal.notRun(RefusalCode.NOT_FOUND, "setting '" + path + "' is not set"));
        }
        Optional<String> conflictingPath = change.value().flatMap(value -> policies.conflictingApiKeyPath(path));
        if (conflictingPath.isPresent()) {
            return Optional.of(Refusal.notRun(
                    RefusalCode.CONFLICT,
                    "key id of '" + path + "' must be unique but is already in use at '" + conflictingPath.get()
                            + "'"));
        }
        if (changeQueue.isFull()) {
            return Optional.of(
                    Refusal.notRun(RefusalCode.OVERLOADED, "too many changes are waiting for the log", 1_000));
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

    private static boolean isConfigCommand(Event.CommandReceived received) {
        return received.command() instanceof ChangeSetting
                || received.command() instanceof ReadSetting
                || received.command() instanceof ListSettings
                || received.command() instanceof WatchSettings;
    }

    private static boolean isConfiguration(StreamName stream) {
        return stream.equals(ConfigurationLog.STREAM);
    }

    private static Refusal conflict(String path, long currentVersion) {
        return Refusal.notRun(
                RefusalCode.CONFLICT,
                "setting '" + path + "' is at version " + currentVersion + ", not at the expected version");
    }

    private static String displayValue(SettingEntry entry) {
        boolean hidden = SettingPath.parse(entry.path())
                .filter(path -> path.scope() == SettingSchema.Scope.API_KEY)
                .isPresent();
        return hidden ? "(hidden)" : entry.value().orElse("(deleted)");
    }
}
