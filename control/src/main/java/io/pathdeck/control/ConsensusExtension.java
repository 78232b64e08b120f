package io.pathdeck.control;

/** What a process adds to the consensus duty; called on the duty's thread. */
public interface ConsensusExtension {
  /** Adds nothing. */
  ConsensusExtension NONE = nowMs -> {};

  /** Called in each step after the groups have advanced. */
  void onStep(long nowMs);
}
