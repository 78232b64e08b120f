package io.pathdeck.fleet.store;

import io.pathdeck.common.result.Result;
import io.pathdeck.consensus.storage.DataFolder;
import io.pathdeck.consensus.storage.StorageError;
import java.util.List;
import java.util.Optional;

/**
 * The record on a store's disk that the store took part in the first start of the system. Until a
 * coordinator has led, it also holds the seeds of the first start.
 */
final class FirstStartRecord {
  private static final String FILE = "first-start";
  private static final String COORDINATOR_HAS_LED = "yes";

  private final DataFolder folder;

  /** Null if the store took no part in the first start. */
  private String content;

  private FirstStartRecord(DataFolder folder, String content) {
    this.folder = folder;
    this.content = content;
  }

  /**
   * Reads the record.
   *
   * @param firstStart whether this is the first start of the system; then the record is written
   * @param seedAddresses the coordinators in the settings
   */
  static Result<FirstStartRecord, StorageError> open(
      DataFolder folder, boolean firstStart, List<String> seedAddresses) {
    Result<Optional<String>, StorageError> stored = folder.readFile(FILE);
    if (!stored.isOk()) {
      return Result.err(stored.error());
    }
    FirstStartRecord opened = new FirstStartRecord(folder, stored.value().orElse(null));
    if (opened.tookPart() || !firstStart || folder.isGivenUp()) {
      return Result.ok(opened);
    }
    return opened.write(String.join(",", seedAddresses)).map(written -> opened);
  }

  boolean tookPart() {
    return content != null;
  }

  /** The seeds of the first start, or none if a coordinator has led since. */
  List<String> seedsWithoutLeader() {
    boolean mayHaveLed = content == null || content.equals(COORDINATOR_HAS_LED);
    return mayHaveLed ? List.of() : List.of(content.split(","));
  }

  /** Records that a coordinator leads. */
  Result<Void, StorageError> onLeader() {
    return write(COORDINATOR_HAS_LED);
  }

  private Result<Void, StorageError> write(String newContent) {
    Result<Void, StorageError> written = folder.writeFile(FILE, newContent);
    if (written.isOk()) {
      content = newContent;
    }
    return written;
  }
}
