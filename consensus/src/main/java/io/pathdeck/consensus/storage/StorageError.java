package io.pathdeck.consensus.storage;

/** Why the data folder cannot be used. */
public sealed interface StorageError {

  /** The operating system refused an operation. */
  record Io(String operation, String reason) implements StorageError {}

  /**
   * A record before the end of the log fails its checksum. Acknowledged data is lost, so the log is
   * not used; the folder must be replaced, and the replica joins again under a new incarnation.
   */
  record Damaged(String file, long offset) implements StorageError {}
}
