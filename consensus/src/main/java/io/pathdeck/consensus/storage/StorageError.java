package io.pathdeck.consensus.storage;

/** An error of the data folder. */
public sealed interface StorageError {

  /** An I/O operation failed. */
  record Io(String operation, String reason) implements StorageError {}

  /**
   * A record before the tail of the log is damaged. Acknowledged data is lost, so the log is not
   * opened; the folder must be replaced, and the replica joins again under a new incarnation.
   */
  record Damaged(String file, long offset) implements StorageError {}
}
