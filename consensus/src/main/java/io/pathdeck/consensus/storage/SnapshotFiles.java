package io.pathdeck.consensus.storage;

import io.pathdeck.common.result.Result;
import io.pathdeck.consensus.SnapshotInstall;
import io.pathdeck.consensus.SnapshotMetadata;
import io.pathdeck.protocol.codec.ObjectCodec;
import io.pathdeck.protocol.snapshot.SnapshotEndRecord;
import io.pathdeck.protocol.snapshot.SnapshotHeaderRecord;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * The snapshot files of all groups in a data folder. A file gets its final name only when complete.
 */
public final class SnapshotFiles {
  private static final int BUFFER_LENGTH = 1 << 16;

  private final Disk disk;
  private final Path folder;

  public SnapshotFiles(DataFolder folder) {
    this.disk = folder.disk();
    this.folder = folder.path();
  }

  /** Writes and syncs a snapshot; when it returns the snapshot is durable. */
  public Path write(int group, SnapshotMetadata metadata, Iterator<Object> records)
      throws IOException {
    Path target = file(group, metadata.index());
    Path temporary = target.resolveSibling(target.getFileName() + ".tmp");
    try (DiskFile file = disk.create(temporary)) {
      OutputStream out = new BufferedOutputStream(new FileOutput(file), BUFFER_LENGTH);
      writeRecord(
          out,
          new SnapshotHeaderRecord(
              group, metadata.index(), metadata.term(), metadata.configuration()));
      int count = 0;
      while (records.hasNext()) {
        writeRecord(out, records.next());
        count++;
      }
      writeRecord(out, new SnapshotEndRecord(count));
      out.flush();
      file.sync();
    }
    DataFolder.renameDurably(disk, temporary, target);
    deleteOlder(group, metadata.index());
    return target;
  }

  /** Stores a snapshot received from the leader. */
  public void store(int group, SnapshotInstall install) throws IOException {
    DataFolder.writeDurably(disk, file(group, install.metadata().index()), install.parts());
    deleteOlder(group, install.metadata().index());
  }

  /** The metadata of the newest snapshot of a group. */
  public Optional<SnapshotMetadata> newestMetadata(int group) throws IOException {
    Optional<Path> file = newestFile(group);
    if (file.isEmpty()) {
      return Optional.empty();
    }
    Object first = new RecordReader(file.get()).next();
    if (first instanceof SnapshotHeaderRecord header) {
      return Optional.of(
          new SnapshotMetadata(header.index(), header.term(), header.configuration()));
    }
    throw new IOException(file.get() + " does not start with a header");
  }

  /** Reads the state records of the newest snapshot of a group and checks that it is complete. */
  public Iterator<Object> read(int group) throws IOException {
    Path file =
        newestFile(group).orElseThrow(() -> new IOException("no snapshot of group " + group));
    List<Object> records = new ArrayList<>();
    RecordReader reader = new RecordReader(file);
    while (reader.hasNext()) {
      records.add(reader.next());
    }
    Object last = records.remove(records.size() - 1);
    records.remove(0);
    boolean complete = last instanceof SnapshotEndRecord end && end.records() == records.size();
    if (!complete) {
      throw new StorageDamageException(new StorageError.Damaged(file.toString(), Files.size(file)));
    }
    return records.iterator();
  }

  /** Reads up to {@code maxLength} bytes of the newest snapshot's file, from {@code offset} on. */
  public Result<byte[], StorageError> readChunk(int group, long offset, int maxLength) {
    try {
      Path file =
          newestFile(group).orElseThrow(() -> new IOException("no snapshot of group " + group));
      try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
        long remaining = Math.max(0, channel.size() - offset);
        ByteBuffer chunk = ByteBuffer.allocate((int) Math.min(maxLength, remaining));
        int read = 0;
        while (chunk.hasRemaining() && read >= 0) {
          read = channel.read(chunk, offset + chunk.position());
        }
        return Result.ok(chunk.array());
      }
    } catch (IOException e) {
      return Result.err(new StorageError.Io("read snapshot of group " + group, e.toString()));
    }
  }

  /** The length in bytes of the newest snapshot's file; 0 when there is none. */
  public long newestLength(int group) throws IOException {
    Optional<Path> file = newestFile(group);
    return file.isEmpty() ? 0 : Files.size(file.get());
  }

  private Path file(int group, long index) {
    return folder.resolve(String.format("snapshot-%d-%015d", group, index));
  }

  private Optional<Path> newestFile(int group) throws IOException {
    return files(group).stream().reduce((first, second) -> second);
  }

  private List<Path> files(int group) throws IOException {
    String prefix = "snapshot-" + group + "-";
    try (Stream<Path> files = Files.list(folder)) {
      return files
          .filter(file -> file.getFileName().toString().startsWith(prefix))
          .filter(file -> !file.getFileName().toString().endsWith(".tmp"))
          .sorted()
          .toList();
    }
  }

  private void deleteOlder(int group, long index) throws IOException {
    for (Path candidate : files(group)) {
      if (candidate.compareTo(file(group, index)) < 0) {
        disk.delete(candidate);
      }
    }
  }

  private static void writeRecord(OutputStream out, Object value) throws IOException {
    out.write(FrameFormat.frame(ObjectCodec.encode(value)).array());
  }

  /** Appends to a file. */
  private static final class FileOutput extends OutputStream {
    private final DiskFile file;

    FileOutput(DiskFile file) {
      this.file = file;
    }

    @Override
    public void write(int value) throws IOException {
      write(new byte[] {(byte) value}, 0, 1);
    }

    @Override
    public void write(byte[] bytes, int offset, int length) throws IOException {
      file.append(ByteBuffer.wrap(bytes, offset, length));
    }
  }

  /** Reads the records of a snapshot file one by one. */
  private static final class RecordReader {
    private final ByteBuffer content;
    private final Path file;

    RecordReader(Path file) throws IOException {
      this.file = file;
      try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ)) {
        this.content = channel.map(FileChannel.MapMode.READ_ONLY, 0, channel.size());
      }
    }

    boolean hasNext() {
      return content.hasRemaining();
    }

    Object next() throws IOException {
      byte[] frame = FrameFormat.readFrame(content);
      if (frame == null) {
        throw new StorageDamageException(
            new StorageError.Damaged(file.toString(), content.position()));
      }
      Result<Object, ObjectCodec.CodecError> decoded = ObjectCodec.decode(frame, Object.class);
      if (!decoded.isOk()) {
        throw new IOException(
            file + " holds a record of an unknown form: " + decoded.error().reason());
      }
      return decoded.value();
    }
  }
}
