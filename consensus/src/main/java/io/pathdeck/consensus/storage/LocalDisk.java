package io.pathdeck.consensus.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** The disk of this machine. */
final class LocalDisk implements Disk {
  @Override
  public DiskFile create(Path file) throws IOException {
    return new LocalFile(
        FileChannel.open(
            file,
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE));
  }

  @Override
  public DiskFile open(Path file) throws IOException {
    FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE);
    channel.position(channel.size());
    return new LocalFile(channel);
  }

  @Override
  public void rename(Path source, Path target) throws IOException {
    Files.move(source, target, StandardCopyOption.ATOMIC_MOVE);
  }

  @Override
  public void delete(Path file) throws IOException {
    Files.deleteIfExists(file);
  }

  @Override
  public void syncFolder(Path folder) throws IOException {
    try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
      channel.force(true);
    }
  }

  private record LocalFile(FileChannel channel) implements DiskFile {
    /**
     * A write of a heap buffer is copied to direct memory of the same size, which the thread keeps.
     */
    private static final int MAX_WRITE_BYTES = 256 * 1_024;

    @Override
    public void append(ByteBuffer bytes) throws IOException {
      while (bytes.hasRemaining()) {
        int length = Math.min(bytes.remaining(), MAX_WRITE_BYTES);
        ByteBuffer part = bytes.slice(bytes.position(), length);
        int written = channel.write(part);
        bytes.position(bytes.position() + written);
      }
    }

    @Override
    public long length() throws IOException {
      return channel.size();
    }

    @Override
    public void truncate(long length) throws IOException {
      channel.truncate(length);
    }

    @Override
    public void sync() throws IOException {
      channel.force(false);
    }

    @Override
    public void close() throws IOException {
      channel.close();
    }
  }
}
