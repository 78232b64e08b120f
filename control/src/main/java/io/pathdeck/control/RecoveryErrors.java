package io.pathdeck.control;

import io.pathdeck.consensus.storage.SegmentedLog;
import io.pathdeck.consensus.storage.StorageDamageException;
import io.pathdeck.consensus.storage.StorageError;
import java.io.IOException;

/** Turns the failure of a recovery into the error of the data folder. */
final class RecoveryErrors {
  private RecoveryErrors() {}

  /** Closes the log, which nothing uses after the failure. */
  static StorageError afterFailure(Exception failure, SegmentedLog log) {
    try {
      log.close();
    } catch (IOException e) {
      failure.addSuppressed(e);
    }
    return failure instanceof StorageDamageException damage
        ? damage.error()
        : new StorageError.Io("recover", failure.toString());
  }
}
