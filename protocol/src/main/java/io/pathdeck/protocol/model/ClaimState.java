package io.pathdeck.protocol.model;

/** What is known about a request that must not run twice. */
public enum ClaimState {
  /** Claimed; it may be running or may have run without a recorded outcome. */
  PENDING,
  /** It ran and its answer is stored. */
  COMPLETED
}
