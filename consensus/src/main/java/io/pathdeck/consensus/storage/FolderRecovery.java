package io.pathdeck.consensus.storage;

import io.pathdeck.common.result.Result;
import java.nio.file.Path;
import java.util.function.Function;

/** Opens a data folder together with what is recovered from it. */
public final class FolderRecovery {
  private FolderRecovery() {}

  /** Opens the folder at {@code path} and passes it to {@code recover}. */
  public static <T> Result<T, StorageError> open(
      Path path, Disk disk, Function<DataFolder, Result<T, StorageError>> recover) {
    Result<DataFolder, StorageError> opened = DataFolder.open(path, disk);
    return opened.isOk() ? recover.apply(opened.value()) : Result.err(opened.error());
  }
}
