package io.pathdeck.consensus;

/** What a replica currently is in its group. */
public enum ReplicaRole {
  /** No configuration is known yet: waits for bootstrap or for a leader to admit it. */
  JOINING,
  FOLLOWER,
  /** Asks whether an election would succeed before disturbing the group with a new term. */
  PRE_CANDIDATE,
  CANDIDATE,
  LEADER
}
