package io.pathdeck.consensus.storage;

import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.common.result.Result;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The folder with the durable state of a process, and its incarnation: a random number stored in
 * the folder when it is created, which distinguishes it from an earlier folder that was lost.
 */
public final class DataFolder {
  private static final EventLog EVENTS = EventLog.of(DataFolder.class);
  private static final String IDENTITY_FILE = "incarnation";

  private final Disk disk;
  private final Path path;
  private final SetAsideFolder setAside;
  private final int filesSynced;
  private final long incarnation;

  private DataFolder(
      Disk disk, Path path, SetAsideFolder setAside, int filesSynced, long incarnation) {
    this.disk = disk;
    this.path = path;
    this.setAside = setAside;
    this.filesSynced = filesSynced;
    this.incarnation = incarnation;
  }

  /** Opens a folder of this machine, creating it with a new incarnation when it is missing. */
  public static Result<DataFolder, StorageError> open(Path path) {
    return open(path, Disk.LOCAL);
  }

  /**
   * Opens a folder on {@code disk}, creating it with a new incarnation when it is missing. All that
   * is found in it is synced first: a process that was killed leaves writes that are readable but
   * not durable.
   */
  public static Result<DataFolder, StorageError> open(Path path, Disk disk) {
    try {
      createDurably(disk, path.toAbsolutePath());
      int filesSynced = syncContent(disk, path);
      Path identity = path.resolve(IDENTITY_FILE);
      SetAsideFolder setAside = new SetAsideFolder(disk, path);
      if (setAside.isIncomplete()) {
        writeIncarnation(disk, identity);
        setAside.complete(identity);
      } else if (!Files.exists(identity)) {
        writeIncarnation(disk, identity);
      }
      long incarnation = Long.parseLong(Files.readString(identity).trim());
      DataFolder folder = new DataFolder(disk, path, setAside, filesSynced, incarnation);
      folder.discardSetAsideIfSpaceIsShort();
      return Result.ok(folder);
    } catch (NumberFormatException | CharacterCodingException e) {
      return Result.err(new StorageError.Damaged(path.resolve(IDENTITY_FILE).toString(), 0));
    } catch (IOException e) {
      return Result.err(new StorageError.Io("open data folder " + path, e.toString()));
    }
  }

  private static void writeIncarnation(Disk disk, Path identity) throws IOException {
    long created = new SecureRandom().nextLong() & Long.MAX_VALUE;
    writeDurably(disk, identity, Long.toString(created).getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Gives the content of the folder at {@code path} up: it is set aside, and the folder is empty
   * and has a new incarnation when it is opened next.
   */
  static void giveUp(Path path, Disk disk, String reason) throws IOException {
    new SetAsideFolder(disk, path).begin(reason);
  }

  /**
   * Whether the folder takes the place of one that was given up. Its replicas join groups, but
   * never form one: the groups of the earlier folder exist.
   */
  public boolean isGivenUp() {
    return setAside.isGivenUp();
  }

  /** Whether the content of an earlier folder that was given up is kept. */
  public boolean hasSetAside() {
    return setAside.isKept();
  }

  /** Deletes the content of an earlier folder that was given up. */
  public void discardSetAside() throws IOException {
    long length = setAside.length();
    setAside.delete();
    EVENTS.log(EventCode.SET_ASIDE_FOLDER_DELETED, "folder", path, "bytes", length);
  }

  /** Keeps room for a folder as large as the earlier one, twice while a snapshot is replaced. */
  private void discardSetAsideIfSpaceIsShort() throws IOException {
    if (hasSetAside() && path.toFile().getUsableSpace() < 2 * setAside.length()) {
      discardSetAside();
    }
  }

  private static void createDurably(Disk disk, Path folder) throws IOException {
    if (Files.isDirectory(folder)) {
      return;
    }
    Path parent = folder.getParent();
    createDurably(disk, parent);
    Files.createDirectories(folder);
    disk.syncFolder(parent);
  }

  private static int syncContent(Disk disk, Path folder) throws IOException {
    List<Path> found;
    try (Stream<Path> files = Files.list(folder)) {
      found = files.filter(Files::isRegularFile).toList();
    }
    for (Path file : found) {
      try (DiskFile opened = disk.open(file)) {
        opened.sync();
      }
    }
    disk.syncFolder(folder);
    return found.size();
  }

  public Path path() {
    return path;
  }

  /** The number of files whose content was synced when the folder was opened. */
  public int filesSynced() {
    return filesSynced;
  }

  Disk disk() {
    return disk;
  }

  /** The random number that distinguishes this folder from any earlier one. */
  public long incarnation() {
    return incarnation;
  }

  /** Writes a small file of the folder durably. */
  public Result<Void, StorageError> writeFile(String name, String content) {
    try {
      writeDurably(disk, path.resolve(name), content.getBytes(StandardCharsets.UTF_8));
      return Result.ok(null);
    } catch (IOException e) {
      return Result.err(new StorageError.Io("write " + name, e.toString()));
    }
  }

  /** Reads a small file of the folder; empty when it does not exist. */
  public Result<Optional<String>, StorageError> readFile(String name) {
    Path file = path.resolve(name);
    try {
      return Result.ok(Optional.of(Files.readString(file)));
    } catch (NoSuchFileException e) {
      return Result.ok(Optional.empty());
    } catch (CharacterCodingException e) {
      return Result.err(new StorageError.Damaged(file.toString(), 0));
    } catch (IOException e) {
      return Result.err(new StorageError.Io("read " + name, e.toString()));
    }
  }

  /**
   * Writes a file durably and atomically: after a crash the file is either unchanged or complete.
   */
  static void writeDurably(Disk disk, Path target, byte[] content) throws IOException {
    writeDurably(disk, target, List.of(content));
  }

  /** Writes a file, whose content comes in parts, durably and atomically. */
  static void writeDurably(Disk disk, Path target, List<byte[]> parts) throws IOException {
    Path temporary = target.resolveSibling(target.getFileName() + ".tmp");
    try (DiskFile file = disk.create(temporary)) {
      for (byte[] part : parts) {
        file.append(ByteBuffer.wrap(part));
      }
      file.sync();
    }
    renameDurably(disk, temporary, target);
  }

  /** Renames a synced file to its final name and syncs the folder. */
  static void renameDurably(Disk disk, Path temporary, Path target) throws IOException {
    disk.rename(temporary, target);
    disk.syncFolder(target.getParent());
  }
}
