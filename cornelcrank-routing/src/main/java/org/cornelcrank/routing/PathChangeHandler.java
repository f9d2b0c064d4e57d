package org.cornelcrank.routing;

import java.util.EnumSet;

import org.cornelcrank.core.Effect;
import org.cornelcrank.core.Effects;
import org.cornelcrank.core.Subject;

/**
 * Applies the results of checks to the health of the targets, to the suspicion against requests, and to the requests
 * that wait for a way to a target.
 *
 * <p>Not thread-safe: confined to the daemon's event loop.
 */
final class PathChangeHandler implements PathMonitor.PathListener {

    private final RoutingContext context;
    private final TargetController controller;
    private final OnlineRouter online;

    PathChangeHandler(RoutingContext context, TargetController controller, OnlineRouter online) {
        this.context = context;
        this.controller = controller;
        this.online = online;
    }

    @Override
    public void reachable(TargetState target, EnumSet<PathCheck.Cause> causes, long nowMs, Effects out) {
        if (causes.contains(PathCheck.Cause.CONNECTION_LOST)) {
            context.suspects().repeatedLoss(target.id(), nowMs, out);
        }
        if (causes.contains(PathCheck.Cause.UNRESPONSIVE)) {
            context.statusPublisher().unresponsive(target.id(), nowMs, out);
        } else if (causes.contains(PathCheck.Cause.TOLD_DOWN)) {
            target.health().reinstate();
        }
        online.pathsChanged(nowMs, out);
    }

    @Override
    public void toldDownConfirmed(TargetState target, long nowMs, Effects out) {
        context.suspects().targetDown(target.id(), nowMs, out);
    }

    @Override
    public void relayed(TargetState target, long nowMs, Effects out) {
        target.health().reinstate();
        online.pathsChanged(nowMs, out);
    }

    @Override
    public void relayReplaced(TargetState target, long nowMs, Effects out) {
        context.suspects().forgetLosses(target.id());
        online.lossesForgotten(target.id(), nowMs);
        relayed(target, nowMs, out);
    }

    @Override
    public void lossesExplained(TargetState target, boolean wasDown, long nowMs, Effects out) {
        if (wasDown) {
            context.suspects().targetDownWithOthers(target.id(), nowMs, out);
        } else {
            context.suspects().forgetLosses(target.id());
            online.lossesForgotten(target.id(), nowMs);
        }
        online.pathsChanged(nowMs, out);
    }

    @Override
    public void isolationChecked(long nowMs, Effects out) {
        online.pathsChanged(nowMs, out);
    }

    @Override
    public void unreachable(
            TargetState target,
            EnumSet<PathCheck.Cause> causes,
            PathCheck.Unreachable result,
            long nowMs,
            Effects out) {
        boolean down = result == PathCheck.Unreachable.DOWN;
        boolean ejected =
                down ? target.health().ejectDown(nowMs) : target.health().ejectBriefly(nowMs);
        if (ejected) {
            out.explain(Subject.Kind.TARGET, target.id(), nowMs, "ejected", causes + ", " + result);
            out.add(new Effect.StateChanged(
                    RoutingStateMachine.NAME, "target " + target.id() + " ejected after " + causes));
        }
        if (down && ejected) {
            context.statusPublisher().down(target.id(), nowMs, out);
        }
        if (down) {
            context.suspects().targetDown(target.id(), nowMs, out);
        } else if (result == PathCheck.Unreachable.BY_ALL) {
            context.suspects().repeatedLossWithOthers(target.id(), nowMs, out);
        }
        if (down && causes.contains(PathCheck.Cause.REPORT_FAILED)) {
            controller.unreachable(target.id(), nowMs, out);
        }
        online.pathsChanged(nowMs, out);
    }
}
