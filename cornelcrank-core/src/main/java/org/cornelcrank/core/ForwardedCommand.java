package org.cornelcrank.core;

/**
 * A command that is forwarded to the owner of a partition.
 *
 * <p>A request may consist of several legs, which go to different partitions or follow one another; {@code leg} is the
 * number of this one. {@code sendNumber} is the number of this transmission of the leg, starting at one. Request, leg
 * and send number together identify a reply. Immutable, thus thread-safe.
 */
public record ForwardedCommand(
        RequestId request,
        int leg,
        int sendNumber,
        Caller caller,
        PartitionId partition,
        CallerCommand command,
        long deadlineAtMs) {}
