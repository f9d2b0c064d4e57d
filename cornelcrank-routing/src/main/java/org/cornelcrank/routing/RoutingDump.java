package org.cornelcrank.routing;

import org.cornelcrank.core.HostId;
import org.cornelcrank.core.StateWriter;

/**
 * Writes the state dump of the routing state machine for operators.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class RoutingDump {

    private final RoutingContext context;
    private final TargetController controller;
    private final OnlineRouter online;
    private final BatchRunner batch;
    private final TeamLimiter limiter;
    private final LinkBudget link;

    RoutingDump(
            RoutingContext context,
            TargetController controller,
            OnlineRouter online,
            BatchRunner batch,
            TeamLimiter limiter,
            LinkBudget link) {
        this.context = context;
        this.controller = controller;
        this.online = online;
        this.batch = batch;
        this.limiter = limiter;
        this.link = link;
    }

    void write(StateWriter writer, long nowMs) {
        writer.field("selector", context.policy().selector().name());
        writer.field("admission", context.policy().admission());
        writer.field("retryBudget", online.retryTokens());
        writer.field("limitedTeams", limiter.size());
        writer.field("linkBytesOnline", link.bytes(LinkBudget.Purpose.ONLINE));
        writer.field("disconnected", context.paths().disconnected());
        writer.field("isolated", context.paths().isolated());
        writer.field("linkBytesBatch", link.bytes(LinkBudget.Purpose.BATCH));
        writeTargets(writer, nowMs);
        writeLedgers(writer, nowMs);
        writePermits(writer, nowMs);
        writeRequests(writer, nowMs);
        writeBatch(writer, nowMs);
        writeSuspects(writer, nowMs);
    }

    private void writeTargets(StateWriter writer, long nowMs) {
        long staleMs = context.routing().permits().occupancyStaleMs();
        int unreportedSlots = context.routing().permits().unreportedSlots();
        writer.table(
                "targets",
                "target",
                "dataCentre",
                "version",
                "controller",
                "slots",
                "inUse",
                "waiting",
                "own",
                "leaving",
                "maxRequestsPerSecond",
                "admittedShare",
                "path",
                "relay",
                "startLatencyMs",
                "cachedPrefixes");
        for (TargetState target : context.directory().all()) {
            writer.row(
                    target.id(),
                    target.location().dataCentre(),
                    target.softwareVersion(),
                    context.controllers()
                            .controllerOf(target)
                            .map(Object::toString)
                            .orElse(""),
                    target.slots(unreportedSlots),
                    target.inUse(nowMs, staleMs),
                    target.waiting(nowMs, staleMs),
                    target.ownAttempts(),
                    context.directory().leaving(target, nowMs),
                    target.maxRequestsPerSecond().isPresent()
                            ? target.maxRequestsPerSecond().getAsDouble()
                            : "",
                    target.health().admittedShare(nowMs),
                    target.path().state(),
                    context.paths().relayFor(target, nowMs).map(HostId::value).orElse(""),
                    target.health().startLatencyMs(),
                    target.cache().size());
        }
    }

    private void writeLedgers(StateWriter writer, long nowMs) {
        writer.table(
                "controlled",
                "target",
                "slots",
                "permits",
                "onlinePermits",
                "waiting",
                "reservedSlots",
                "revocationMs",
                "learning");
        controller
                .ledgers()
                .forEach((id, ledger) -> writer.row(
                        id,
                        ledger.slots(nowMs),
                        ledger.permits().size(),
                        ledger.onlineRunning(),
                        ledger.waiting(),
                        ledger.reservedSlots(nowMs),
                        ledger.revocationMs(),
                        ledger.learning(nowMs)));
    }

    private void writePermits(StateWriter writer, long nowMs) {
        writer.table("permits", "target", "attempt", "holder", "urgency", "job", "ageMs", "revoked", "suspect");
        controller.ledgers().forEach((id, ledger) -> {
            for (HeldPermit permit : ledger.permits()) {
                writer.row(
                        id,
                        permit.attempt(),
                        permit.holder(),
                        permit.urgency(),
                        permit.owner().map(owner -> owner.job().value()).orElse(""),
                        nowMs - permit.grantedAtMs(),
                        permit.revoked(),
                        permit.suspect());
            }
        });
    }

    private void writeRequests(StateWriter writer, long nowMs) {
        writer.table("requests", "request", "team", "service", "phase", "target", "attempts", "leftMs", "suspect");
        for (Route route : online.openRoutes()) {
            writer.row(
                    route.request.id(),
                    route.request.team(),
                    route.request.service(),
                    route.phase,
                    route.target == null ? "" : route.target.id(),
                    route.attempts,
                    route.request.deadlineAtMs() - nowMs,
                    route.suspect);
        }
    }

    private void writeBatch(StateWriter writer, long nowMs) {
        writer.table("batchPermits", "number", "job", "target", "ageMs", "item", "revoked");
        for (BatchRun run : batch.running()) {
            writer.row(
                    run.permit().number(),
                    run.permit().job(),
                    run.permit().target(),
                    nowMs - run.grantedAtMs(),
                    run.work() == null ? "" : run.work().itemId(),
                    run.revoked());
        }
        writer.table("ownDemand", "job", "team", "service", "dueInMs", "share", "wanted", "remaining");
        for (BatchDemand demand : batch.demands()) {
            writer.row(
                    demand.job(),
                    demand.team(),
                    demand.service(),
                    demand.deadlineAtMs() - nowMs,
                    demand.share(),
                    demand.runnable(),
                    demand.remaining());
        }
        writer.table("standingDemand", "job", "team", "holder", "dueInMs", "share", "wanted");
        for (BatchDemandQueue.StandingDemand demand : controller.demands()) {
            writer.row(
                    demand.advertised().job(),
                    demand.advertised().team(),
                    demand.holder(),
                    demand.dueAtMs() - nowMs,
                    demand.advertised().share(),
                    demand.runnable());
        }
    }

    private void writeSuspects(StateWriter writer, long nowMs) {
        writer.table("suspects", "fingerprint", "targets", "deaths", "quarantined", "expiresInMs");
        context.suspects()
                .records()
                .forEach((fingerprint, record) -> writer.row(
                        Long.toHexString(fingerprint),
                        record.deaths().keySet(),
                        record.deathCount(),
                        context.suspects().quarantined(fingerprint, nowMs),
                        record.expiresAtMs() - nowMs));
        writer.table("promptParts", "part", "targets", "signs", "quarantined", "trials", "trialInMs", "expiresInMs");
        context.promptParts()
                .records()
                .forEach((part, record) -> writer.row(
                        Long.toHexString(part),
                        record.crashedTargets(),
                        record.crashes().size(),
                        record.quarantined(),
                        Math.max(0, record.trials()),
                        record.quarantined() ? record.trialAtMs() - nowMs : 0,
                        record.expiresAtMs() - nowMs));
    }
}
