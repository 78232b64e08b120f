package io.pathdeck.consensus;

import io.pathdeck.protocol.raft.Member;

/** The leader wants to send a part of its newest snapshot to a member. */
public record SnapshotRequest(Member member, long offset) {}
