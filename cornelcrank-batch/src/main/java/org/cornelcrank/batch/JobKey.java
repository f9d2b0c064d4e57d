package org.cornelcrank.batch;

/**
 * Key that identifies a job within its team, independent of the partition.
 *
 * <p>Immutable, thus thread-safe.
 */
record JobKey(String team, String key) implements Comparable<JobKey> {

    @Override
    public int compareTo(JobKey other) {
        int byTeam = team.compareTo(other.team);
        return byTeam != 0 ? byTeam : key.compareTo(other.key);
    }
}
