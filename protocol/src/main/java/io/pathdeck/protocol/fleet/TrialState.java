package io.pathdeck.protocol.fleet;

/** How far a trial of quarantined requests or parts of prompts has come. */
public enum TrialState {
  /** A process has a call that it may send once the leading coordinator allows it. */
  REQUESTED,
  /** The call was sent; nothing is known yet. */
  RUNNING,
  /** The engine served the call for so long that nothing quarantined in it crashes engines. */
  SERVED,
  /** The engine crashed before that. */
  CRASHED,
  /** The call was refused, not sent, canceled or cut off, or failed without a crash. */
  NO_VERDICT;

  /** Whether the trial is over. */
  public boolean isOutcome() {
    return this != REQUESTED && this != RUNNING;
  }
}
