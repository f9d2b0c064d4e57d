package org.cornelcrank.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.batch.BatchMessageCodec;
import org.cornelcrank.batch.BatchSettings;
import org.cornelcrank.batch.BatchStateMachine;
import org.cornelcrank.call.CallMessageCodec;
import org.cornelcrank.call.CallSettings;
import org.cornelcrank.call.CallStateMachine;
import org.cornelcrank.config.ConfigMessageCodec;
import org.cornelcrank.config.ConfigSettings;
import org.cornelcrank.config.ConfigStateMachine;
import org.cornelcrank.config.Settings;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.MembershipView;
import org.cornelcrank.core.PeerMessageCodec;
import org.cornelcrank.core.StableHash;
import org.cornelcrank.core.StateMachine;
import org.cornelcrank.fleet.FleetMessageCodec;
import org.cornelcrank.fleet.FleetSettings;
import org.cornelcrank.fleet.FleetStateMachine;
import org.cornelcrank.membership.MembershipMessageCodec;
import org.cornelcrank.membership.MembershipSettings;
import org.cornelcrank.membership.MembershipStateMachine;
import org.cornelcrank.partition.PartitionMessageCodec;
import org.cornelcrank.partition.PartitionSettings;
import org.cornelcrank.partition.PartitionStateMachine;
import org.cornelcrank.routing.RoutingMessageCodec;
import org.cornelcrank.routing.RoutingStateMachine;

/**
 * Builds the state machines of one daemon and composes them into its decision core.
 *
 * <p>Immutable; the state machines are confined to the daemon's event loop.
 */
public final class DaemonAssembly {

    private static final String RANDOM_ALGORITHM = "L64X128MixRandom";
    private static final int MAX_EXPLAINED_SUBJECTS = 4_096;
    private static final int MAX_DECISIONS_PER_SUBJECT = 32;

    private final DaemonCore core;
    private final MembershipView membership;
    private final Settings settings;

    private DaemonAssembly(DaemonCore core, MembershipView membership, Settings settings) {
        this.core = core;
        this.membership = membership;
        this.settings = settings;
    }

    /**
     * Builds a daemon's state machines with their default settings.
     *
     * @param identity the identity of the daemon
     * @param options the options of the deployment, and the random seed
     * @param metrics the registry for the metrics of the state machines
     * @return the composed daemon, whose first event must be {@link org.cornelcrank.core.Event.Started}
     */
    public static DaemonAssembly assemble(DaemonIdentity identity, DaemonOptions options, MetricRegistry metrics) {
        MembershipStateMachine membership = new MembershipStateMachine(
                identity,
                options.seedAddresses(),
                MembershipSettings.defaults(),
                random(options, "membership"),
                metrics);
        ConfigStateMachine settings = new ConfigStateMachine(
                identity, membership, ConfigSettings.defaults(), metrics, random(options, "config"));
        PartitionStateMachine partitions = new PartitionStateMachine(
                identity, membership, membership, partitionSettings(options), random(options, "partition"), metrics);
        RoutingStateMachine routing = new RoutingStateMachine(
                identity,
                membership,
                membership,
                settings,
                RoutingPolicies.named(options.policy()),
                random(options, "routing"),
                metrics);
        BatchStateMachine batch =
                new BatchStateMachine(identity, partitions, routing, settings, BatchSettings.defaults(), metrics);
        CallStateMachine calls =
                new CallStateMachine(identity, partitions, routing, settings, CallSettings.defaults(), metrics);
        FleetStateMachine fleet =
                new FleetStateMachine(identity, settings, partitions, FleetSettings.defaults(), metrics);
        membership.subscribe(partitions);
        membership.subscribe(PartitionStateMachine.SLICE, partitions);
        routing.subscribe(batch);
        partitions.register(batch);
        partitions.register(calls);
        partitions.register(fleet);
        DecisionJournal journal = new DecisionJournal(MAX_EXPLAINED_SUBJECTS, MAX_DECISIONS_PER_SUBJECT);
        List<StateMachine> stateMachines =
                new ArrayList<>(List.of(membership, settings, partitions, routing, batch, calls, fleet));
        stateMachines.add(new OperationsStateMachine(membership, journal, () -> stateMachines));
        DaemonCore core = new DaemonCore(
                stateMachines, journal, dispatch -> fleet.attemptDispatched(dispatch.attempt(), dispatch.target()));
        return new DaemonAssembly(core, membership, settings);
    }

    /**
     * Returns the composed core.
     *
     * @return the core
     */
    public DaemonCore core() {
        return core;
    }

    /**
     * Returns the daemon's view of the membership, confined to its event loop.
     *
     * @return the view
     */
    public MembershipView membership() {
        return membership;
    }

    /**
     * Returns the active settings, confined to the daemon's event loop.
     *
     * @return the settings
     */
    public Settings settings() {
        return settings;
    }

    /**
     * Returns the codecs of all messages between daemons.
     *
     * @return one codec for each slice
     */
    public static List<PeerMessageCodec> codecs() {
        return List.of(
                new MembershipMessageCodec(),
                new ConfigMessageCodec(),
                new PartitionMessageCodec(),
                new RoutingMessageCodec(),
                new BatchMessageCodec(),
                new CallMessageCodec(),
                new FleetMessageCodec(),
                new OperationsMessageCodec());
    }

    private static PartitionSettings partitionSettings(DaemonOptions options) {
        PartitionSettings defaults = PartitionSettings.defaults();
        return new PartitionSettings(
                options.partitionsPerRegion(),
                defaults.append(),
                defaults.read(),
                defaults.ownership(),
                defaults.retention());
    }

    private static RandomGenerator random(DaemonOptions options, String name) {
        return RandomGeneratorFactory.of(RANDOM_ALGORITHM).create(options.seed() ^ StableHash.of(name));
    }
}
