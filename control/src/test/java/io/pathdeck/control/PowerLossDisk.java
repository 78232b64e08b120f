package io.pathdeck.control;

import io.pathdeck.consensus.storage.Disk;
import io.pathdeck.consensus.storage.DiskFile;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Stream;

/**
 * A disk on files of this machine that knows what was synced: a kill of the process keeps what was
 * written, a loss of power only what was synced, and whatever part of the rest is drawn.
 */
final class PowerLossDisk implements Disk {
  /** A file, whatever its name is. */
  private static final class Inode {
    byte[] synced = {};
  }

  private static final int FRAME_HEADER_LENGTH = 16;

  private final SplittableRandom random;
  private final Map<Path, Inode> names = new HashMap<>();
  private final Map<Path, Inode> syncedNames = new HashMap<>();
  private long syncsUntilKill = Long.MAX_VALUE;
  private long operationsUntilKill = Long.MAX_VALUE;

  PowerLossDisk(long seed) {
    this.random = new SplittableRandom(seed);
  }

  /** Lets the process be killed before the given sync of a file from now on. */
  void killBeforeSync(int count) {
    syncsUntilKill = count;
  }

  /** Lets the process be killed before the given operation from now on. */
  void killBeforeOperation(int count) {
    operationsUntilKill = count;
  }

  /** Starts the next life of the process. */
  void restart() {
    syncsUntilKill = Long.MAX_VALUE;
    operationsUntilKill = Long.MAX_VALUE;
  }

  /** Lets each file and each name keep what was synced, and a drawn part of what was not. */
  void losePower() throws IOException {
    for (Map.Entry<Path, Inode> name : Map.copyOf(names).entrySet()) {
      Inode inode = name.getValue();
      byte[] written = Files.readAllBytes(name.getKey());
      if (written.length > inode.synced.length) {
        int kept = random.nextInt(inode.synced.length, written.length);
        inode.synced = Arrays.copyOf(written, random.nextBoolean() ? kept : inode.synced.length);
      }
      if (!syncedNames.containsKey(name.getKey()) && random.nextBoolean()) {
        syncedNames.put(name.getKey(), inode);
      }
    }
    for (Path file : names.keySet()) {
      Files.delete(file);
    }
    names.clear();
    names.putAll(syncedNames);
    for (Map.Entry<Path, Inode> name : names.entrySet()) {
      Files.write(name.getKey(), name.getValue().synced);
    }
    restart();
  }

  @Override
  public DiskFile create(Path file) throws IOException {
    checkAlive();
    Inode inode = new Inode();
    names.put(file, inode);
    Files.write(file, inode.synced);
    return new TrackedFile(file, inode);
  }

  @Override
  public DiskFile open(Path file) throws IOException {
    checkAlive();
    if (!names.containsKey(file)) {
      throw new IOException(file + " was not written to this disk");
    }
    return new TrackedFile(file, names.get(file));
  }

  @Override
  public void rename(Path source, Path target) throws IOException {
    checkAlive();
    Files.move(source, target, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    names.put(target, names.remove(source));
  }

  @Override
  public void delete(Path file) throws IOException {
    checkAlive();
    Files.deleteIfExists(file);
    names.remove(file);
  }

  @Override
  public void syncFolder(Path folder) throws IOException {
    checkAlive();
    syncedNames.keySet().removeIf(file -> file.getParent().equals(folder));
    names.forEach(
        (file, inode) -> {
          if (file.getParent().equals(folder)) {
            syncedNames.put(file, inode);
          }
        });
  }

  private void checkAlive() throws IOException {
    operationsUntilKill--;
    if (syncsUntilKill <= 0 || operationsUntilKill <= 0) {
      throw new IOException("the process was killed");
    }
  }

  /** The files of a folder with a prefix, the oldest first. */
  static Path[] files(Path folder, String prefix) {
    try (Stream<Path> files = Files.list(folder)) {
      return files
          .filter(file -> file.getFileName().toString().startsWith(prefix))
          .sorted()
          .toArray(Path[]::new);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Where the last frame of a file starts. */
  static int lastFrame(Path file) throws IOException {
    ByteBuffer content = ByteBuffer.wrap(Files.readAllBytes(file));
    int start = 0;
    int next = 0;
    while (next < content.limit()) {
      start = next;
      next += FRAME_HEADER_LENGTH + content.getInt(start + Long.BYTES);
    }
    return start;
  }

  /** Changes a byte of a file durably. */
  void damage(Path file, int offset) throws IOException {
    byte[] content = Files.readAllBytes(file);
    content[offset] ^= 0x40;
    Files.write(file, content);
    names.get(file).synced = content;
  }

  /** Shortens a file durably. */
  void cut(Path file, int length) throws IOException {
    byte[] content = Arrays.copyOf(Files.readAllBytes(file), length);
    Files.write(file, content);
    names.get(file).synced = content;
  }

  private final class TrackedFile implements DiskFile {
    private final Path file;
    private final Inode inode;

    TrackedFile(Path file, Inode inode) {
      this.file = file;
      this.inode = inode;
    }

    @Override
    public void append(ByteBuffer bytes) throws IOException {
      checkAlive();
      byte[] content = new byte[bytes.remaining()];
      bytes.get(content);
      Files.write(file, content, StandardOpenOption.APPEND);
    }

    @Override
    public long length() throws IOException {
      return Files.size(file);
    }

    @Override
    public void truncate(long length) throws IOException {
      checkAlive();
      Files.write(file, Arrays.copyOf(Files.readAllBytes(file), (int) length));
    }

    @Override
    public void sync() throws IOException {
      syncsUntilKill--;
      checkAlive();
      inode.synced = Files.readAllBytes(file);
    }

    @Override
    public void close() {}
  }
}
