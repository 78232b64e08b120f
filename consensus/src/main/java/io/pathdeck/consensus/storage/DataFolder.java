package io.pathdeck.consensus.storage;

import io.pathdeck.common.result.Result;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
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
  private static final String IDENTITY_FILE = "incarnation";

  private final Disk disk;
  private final Path path;
  private final int filesSynced;
  private final long incarnation;

  private DataFolder(Disk disk, Path path, int filesSynced, long incarnation) {
    this.disk = disk;
    this.path = path;
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
      if (!Files.exists(identity)) {
        long created = new SecureRandom().nextLong() & Long.MAX_VALUE;
        writeDurably(disk, identity, Long.toString(created).getBytes(StandardCharsets.UTF_8));
      }
      long incarnation = Long.parseLong(Files.readString(identity).trim());
      return Result.ok(new DataFolder(disk, path, filesSynced, incarnation));
    } catch (IOException | NumberFormatException e) {
      return Result.err(new StorageError.Io("open data folder " + path, e.toString()));
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

  /** Reads a small file of the folder; empty when it does not exist or cannot be read. */
  public Optional<String> readFile(String name) {
    Path file = path.resolve(name);
    try {
      return Files.exists(file) ? Optional.of(Files.readString(file)) : Optional.empty();
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  /**
   * Writes a file durably and atomically: after a crash the file is either unchanged or complete.
   */
  static void writeDurably(Disk disk, Path target, byte[] content) throws IOException {
    Path temporary = target.resolveSibling(target.getFileName() + ".tmp");
    try (DiskFile file = disk.create(temporary)) {
      file.append(ByteBuffer.wrap(content));
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
