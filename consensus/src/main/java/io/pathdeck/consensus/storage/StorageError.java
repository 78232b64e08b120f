package io.pathdeck.consensus.storage;

/** An error of the data folder. */
public sealed interface StorageError {

  /** An I/O operation failed, or a file has a form that this version does not know. */
  record Io(String operation, String reason) implements StorageError {}

  /** Data that was durable is damaged. */
  record Damaged(String file, long offset) implements StorageError {
    @Override
    public String toString() {
      return file + " is damaged at offset " + offset;
    }
  }

  /**
   * Entries that were durable are missing: the log of a group goes on at {@code nextIndex} although
   * it ends at {@code lastIndex}.
   */
  record Gap(int group, long lastIndex, long nextIndex) implements StorageError {}

  /**
   * Whether the folder has lost data that other replicas may count on, so that its replicas must
   * not go on under its incarnation.
   */
  default boolean isDamage() {
    return !(this instanceof Io);
  }
}
