package io.pathdeck.consensus.storage;

import java.io.IOException;
import java.nio.file.Path;

/**
 * The operations that change the files of a data folder. A test replaces the local disk by one that
 * tells what was written from what was synced.
 */
public interface Disk {
  /** The disk of this machine. */
  Disk LOCAL = new LocalDisk();

  /** Creates an empty file, in place of any file of that name. */
  DiskFile create(Path file) throws IOException;

  /** Opens an existing file. */
  DiskFile open(Path file) throws IOException;

  /** Renames a file atomically; it lasts once the folder is synced. */
  void rename(Path source, Path target) throws IOException;

  /** Deletes a file if it exists; it lasts once the folder is synced. */
  void delete(Path file) throws IOException;

  /** Makes the creations, renames and deletions in a folder durable. */
  void syncFolder(Path folder) throws IOException;
}
