package io.pathdeck.protocol.fleet;

import io.pathdeck.protocol.raft.GroupConfiguration;

/**
 * A group that keeps batch jobs and its first members.
 *
 * @param group the number of the group, from 1
 */
public record JobsGroupFounders(int group, GroupConfiguration configuration) {}
