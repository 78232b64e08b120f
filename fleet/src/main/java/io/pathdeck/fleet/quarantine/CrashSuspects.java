package io.pathdeck.fleet.quarantine;

/** What may be found to crash engines among the calls of a process. */
public enum CrashSuspects {
  /** The requests of callers, and the parts of their prompts. */
  REQUESTS_AND_PROMPT_PARTS,
  /**
   * The parts of prompts only: an item of a batch job does not crash engines by itself and stays
   * owed to its owner, whatever happened to the engines that ran it.
   */
  PROMPT_PARTS
}
