package org.cornelcrank.routing;

import org.cornelcrank.core.JobId;
import org.cornelcrank.core.ServiceName;
import org.cornelcrank.core.SoftwareVersion;
import org.cornelcrank.core.TargetId;

/**
 * The right to run one item of a job on one target, until it is used, released or revoked.
 *
 * <p>{@code service} is the one that the job demanded when the permit was granted, and {@code softwareVersion} that of the
 * target. Immutable, thus thread-safe.
 */
public record BatchPermit(
        long number, JobId job, TargetId target, ServiceName service, SoftwareVersion softwareVersion) {}
