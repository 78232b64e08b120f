package io.pathdeck.consensus.storage;

import java.io.IOException;

/** Data that was durable is damaged or missing. */
public final class StorageDamageException extends IOException {
  private static final long serialVersionUID = 1;

  private final transient StorageError error;

  public StorageDamageException(StorageError error) {
    super(error.toString());
    this.error = error;
  }

  /** What is damaged or missing. */
  public StorageError error() {
    return error;
  }
}
