package org.cornelcrank.core;

/**
 * A command on its way to the owner of a partition.
 *
 * <p>{@code leg} numbers the parts of one request that go to several partitions or one after another; {@code send}
 * counts how often this leg was sent, from one. The three together identify an answer. Immutable, thus thread-safe.
 */
public record ForwardedCommand(
        RequestId request,
        int leg,
        int send,
        Caller caller,
        PartitionId partition,
        CallerCommand command,
        long deadlineAtMs) {}
