package io.pathdeck.protocol.model;

/** The life cycle of a batch job. */
public enum JobStatus {
  IN_PROGRESS,
  COMPLETED,
  CANCELLED,
  EXPIRED;

  /** Whether no item of the job may run any more. */
  public boolean isTerminal() {
    return this != IN_PROGRESS;
  }
}
