package io.pathdeck.consensus;

/** The current role of a replica in its group. */
public enum ReplicaRole {
  /** Knows no configuration yet; waits for bootstrap or for admission by a leader. */
  JOINING,
  FOLLOWER,
  /** Checks whether it could win an election before it starts a new term. */
  PRE_CANDIDATE,
  CANDIDATE,
  LEADER
}
