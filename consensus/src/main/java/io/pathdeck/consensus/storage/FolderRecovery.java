package io.pathdeck.consensus.storage;

import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.common.result.Result;
import java.io.IOException;
import java.nio.file.Path;
import java.util.function.Function;

/**
 * Opens a data folder together with what is recovered from it. A folder that turns out to be
 * damaged is given up as a whole: what it acknowledged and voted must not count any more, so the
 * process starts with an empty folder and a new incarnation, as after the loss of a disk.
 */
public final class FolderRecovery {
  private static final EventLog EVENTS = EventLog.of(FolderRecovery.class);

  private FolderRecovery() {}

  /** Opens the folder at {@code path} and passes it to {@code recover}. */
  public static <T> Result<T, StorageError> open(
      Path path, Disk disk, Function<DataFolder, Result<T, StorageError>> recover) {
    Result<DataFolder, StorageError> folder = DataFolder.open(path, disk);
    Result<T, StorageError> recovered = recover(folder, recover);
    if (recovered.isOk() || !recovered.error().isDamage()) {
      return recovered;
    }
    StorageError damage = recovered.error();
    try {
      DataFolder.giveUp(path, disk, damage.toString());
    } catch (IOException e) {
      return Result.err(new StorageError.Io("give up " + path + " as " + damage, e.toString()));
    }
    Result<DataFolder, StorageError> empty = DataFolder.open(path, disk);
    EVENTS.log(
        EventCode.DATA_FOLDER_GIVEN_UP,
        "folder",
        path,
        "reason",
        damage,
        "incarnation_before",
        incarnation(folder),
        "incarnation",
        incarnation(empty));
    return recover(empty, recover);
  }

  private static <T> Result<T, StorageError> recover(
      Result<DataFolder, StorageError> folder,
      Function<DataFolder, Result<T, StorageError>> recover) {
    return folder.isOk() ? recover.apply(folder.value()) : Result.err(folder.error());
  }

  private static String incarnation(Result<DataFolder, StorageError> folder) {
    return folder.isOk() ? Long.toString(folder.value().incarnation()) : "unknown";
  }
}
