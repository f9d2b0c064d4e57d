package org.cornelcrank.server;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

import com.codahale.metrics.MetricRegistry;
import org.cornelcrank.core.DaemonIdentity;
import org.cornelcrank.core.MembershipView;
import org.cornelcrank.core.PeerMessageCodec;
import org.cornelcrank.core.StableHash;
import org.cornelcrank.core.StateMachine;
import org.cornelcrank.daemon.DaemonCore;
import org.cornelcrank.daemon.DecisionJournal;
import org.cornelcrank.daemon.OperationsMessageCodec;
import org.cornelcrank.daemon.OperationsStateMachine;
import org.cornelcrank.daemon.RoutingPolicies;
import org.cornelcrank.gateway.DirectoryFormat;
import org.cornelcrank.gateway.DirectoryStateMachine;
import org.cornelcrank.gateway.RouteTableSettings;
import org.cornelcrank.job.JobMessageCodec;
import org.cornelcrank.job.JobSettings;
import org.cornelcrank.job.JobStateMachine;
import org.cornelcrank.membership.MembershipMessageCodec;
import org.cornelcrank.membership.MembershipSettings;
import org.cornelcrank.membership.MembershipStateMachine;
import org.cornelcrank.routing.RoutingMessageCodec;
import org.cornelcrank.routing.RoutingPolicy;
import org.cornelcrank.routing.RoutingSettings;
import org.cornelcrank.routing.RoutingStateMachine;
import org.cornelcrank.server.settings.GatewaySettings;
import org.cornelcrank.store.StoreCalls;

/**
 * Decision core of a daemon that serves a platform's callers, composed of its state machines.
 *
 * <p>Immutable; the state machines are confined to the daemon's event loop.
 */
record GatewayAssembly(
        DaemonCore core, MembershipView membership, RoutingStateMachine routing, RouteTableSettings routes) {

    private static final String RANDOM_ALGORITHM = "L64X128MixRandom";
    private static final int MAX_EXPLAINED_SUBJECTS = 1_024;
    private static final int MAX_DECISIONS_PER_SUBJECT = 16;

    /**
     * Lease of a job partition, in ms: how long a daemon that stops renewing keeps the partition. Several renewal
     * intervals.
     */
    private static final long LEASE_MS = 2_500;

    /**
     * The time between two renewals of the leases of job partitions, in ms; each renewal costs the store a tenth of a
     * call.
     */
    private static final long RENEW_INTERVAL_MS = 700;

    /** Creates the state machines and composes them into a core. */
    static GatewayAssembly assemble(
            GatewaySettings settings, DaemonIdentity identity, DirectoryFormat format, MetricRegistry metrics) {
        long seed = settings.seed() == 0
                ? identity.incarnation() ^ StableHash.of(identity.host().value())
                : settings.seed();
        StoreCalls store = new StoreCalls();
        RouteTableSettings routes = new RouteTableSettings(settings.location().region());
        DirectoryStateMachine directory = new DirectoryStateMachine(
                identity, settings.dataCentres(), format, routes, store, random(seed, DirectoryStateMachine.NAME));
        MembershipStateMachine membership = new MembershipStateMachine(
                identity, Map.of(), MembershipSettings.defaults(), random(seed, "membership"), metrics);
        RoutingStateMachine routing = new RoutingStateMachine(
                identity,
                membership,
                membership,
                routes,
                routingPolicy(settings.policy()),
                random(seed, RoutingStateMachine.NAME),
                metrics);
        JobStateMachine jobs = new JobStateMachine(
                identity,
                jobSettings(settings),
                routes,
                store,
                membership,
                routing,
                random(seed, JobStateMachine.NAME));
        routing.subscribe(jobs);
        metrics.counter("jobs.unreadable", jobs::unreadableJobs);
        DecisionJournal journal =
                new DecisionJournal(MAX_EXPLAINED_SUBJECTS, MAX_DECISIONS_PER_SUBJECT, new DecisionLog(metrics)::log);
        List<StateMachine> stateMachines = new ArrayList<>(List.of(store, directory, membership, routing, jobs));
        stateMachines.add(new OperationsStateMachine(membership, journal, () -> stateMachines));
        return new GatewayAssembly(new DaemonCore(stateMachines, journal, dispatch -> {}), membership, routing, routes);
    }

    private static RoutingPolicy routingPolicy(String name) {
        RoutingPolicy named = RoutingPolicies.named(name);
        return new RoutingPolicy(RoutingSettings.forLatencyObjectives(), named.selector(), named.admission());
    }

    private static JobSettings jobSettings(GatewaySettings settings) {
        return new JobSettings(
                settings.storePartitions(),
                settings.storeRecordBytes(),
                settings.storeRequestBytes(),
                LEASE_MS,
                RENEW_INTERVAL_MS,
                settings.jobRetentionMs());
    }

    private static RandomGenerator random(long seed, String name) {
        return RandomGeneratorFactory.of(RANDOM_ALGORITHM).create(seed ^ StableHash.of(name));
    }

    /** Returns the codecs of all peer messages. */
    static List<PeerMessageCodec> codecs() {
        return List.of(
                new MembershipMessageCodec(),
                new RoutingMessageCodec(),
                new JobMessageCodec(),
                new OperationsMessageCodec());
    }
}
