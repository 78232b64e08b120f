package io.pathdeck.consensus.storage;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/**
 * The content of a data folder that was given up because it is damaged; kept in a sub-folder until
 * the replicas of the folder vote again.
 *
 * <p>A marker is written first. From then on the old incarnation is not used any more: whoever
 * opens the folder completes the move before anything else, so a kill or a loss of power leaves
 * either the damaged folder or an empty one.
 */
final class SetAsideFolder {
  private static final String SUB_FOLDER = "damaged";
  private static final String MARKER = "giving-up";
  private static final String GIVEN_UP = "given-up";

  private final Disk disk;
  private final Path folder;
  private final Path subFolder;

  SetAsideFolder(Disk disk, Path folder) {
    this.disk = disk;
    this.folder = folder;
    this.subFolder = folder.resolve(SUB_FOLDER);
  }

  /** Gives the folder up, durably; {@link #complete} must follow before it is used. */
  void begin(String reason) throws IOException {
    delete();
    byte[] content = reason.getBytes(StandardCharsets.UTF_8);
    DataFolder.writeDurably(disk, folder.resolve(MARKER), content);
  }

  /** Whether the folder was given up but its content may not have been moved yet. */
  boolean isIncomplete() {
    return Files.exists(folder.resolve(MARKER));
  }

  /** Moves the content, except for the file that is already {@code renewed}. */
  void complete(Path renewed) throws IOException {
    Files.createDirectories(subFolder);
    disk.syncFolder(folder);
    Path marker = folder.resolve(MARKER);
    for (Path file : filesOf(folder)) {
      if (!file.equals(marker) && !file.equals(renewed)) {
        disk.rename(file, subFolder.resolve(file.getFileName()));
      }
    }
    disk.syncFolder(subFolder);
    disk.syncFolder(folder);
    DataFolder.renameDurably(disk, marker, folder.resolve(GIVEN_UP));
  }

  /** Whether the folder takes the place of one that was given up. */
  boolean isGivenUp() {
    return Files.exists(folder.resolve(GIVEN_UP));
  }

  boolean isKept() {
    return Files.exists(subFolder);
  }

  /** The length in bytes of what is kept. */
  long length() throws IOException {
    long length = 0;
    for (Path file : isKept() ? filesOf(subFolder) : List.<Path>of()) {
      length += Files.size(file);
    }
    return length;
  }

  /** Deletes what is kept. */
  void delete() throws IOException {
    if (isKept()) {
      for (Path file : filesOf(subFolder)) {
        disk.delete(file);
      }
      disk.syncFolder(subFolder);
      disk.delete(subFolder);
      disk.syncFolder(folder);
    }
  }

  private static List<Path> filesOf(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files.filter(Files::isRegularFile).toList();
    }
  }
}
