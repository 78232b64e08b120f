package io.pathdeck.consensus.storage;

import io.pathdeck.common.events.EventCode;
import io.pathdeck.common.events.EventLog;
import io.pathdeck.common.result.Result;
import io.pathdeck.protocol.codec.ObjectCodec;
import io.pathdeck.protocol.raft.BootstrapRecord;
import io.pathdeck.protocol.raft.EntryRecord;
import io.pathdeck.protocol.raft.HardStateRecord;
import io.pathdeck.protocol.raft.LogRecord;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * The durable log of a process, shared by its groups so that one sync covers all of them.
 *
 * <p>Each batch is one checksummed frame, written and synced before the next batch. A damaged frame
 * with no intact frame behind it is therefore a torn write that was never acknowledged, and is
 * truncated. A damaged frame with an intact frame or a further segment behind it means that
 * acknowledged data is damaged, and the log does not open. Confined to one thread.
 */
public final class SegmentedLog implements AutoCloseable {
  private static final EventLog EVENTS = EventLog.of(SegmentedLog.class);
  private static final long MAX_SEGMENT_LENGTH = 64L * 1024 * 1024;
  private static final String PREFIX = "log-";

  private final Disk disk;
  private final Path folder;
  private final long maxSegmentLength;

  /** The highest entry index of each group in each segment, oldest segment first. */
  private final LinkedHashMap<Path, Map<Integer, Long>> segments = new LinkedHashMap<>();

  private final Map<Integer, HardStateRecord> hardStates = new HashMap<>();
  private final Map<Integer, BootstrapRecord> bootstraps = new HashMap<>();
  private DiskFile currentFile;
  private Path currentSegment;
  private long nextSequence = 1;
  private long bytesDropped;

  private SegmentedLog(Disk disk, Path folder, long maxSegmentLength) {
    this.disk = disk;
    this.folder = folder;
    this.maxSegmentLength = maxSegmentLength;
  }

  /** Opens the log and passes every recovered record to {@code replay} in order. */
  public static Result<SegmentedLog, StorageError> open(
      DataFolder folder, Consumer<LogRecord> replay) {
    return open(folder, MAX_SEGMENT_LENGTH, replay);
  }

  /** Opens a log that starts a new segment after {@code maxSegmentLength} bytes. */
  public static Result<SegmentedLog, StorageError> open(
      DataFolder folder, long maxSegmentLength, Consumer<LogRecord> replay) {
    SegmentedLog log = new SegmentedLog(folder.disk(), folder.path(), maxSegmentLength);
    try {
      List<Path> files = log.existingSegments();
      for (int i = 0; i < files.size(); i++) {
        boolean last = i == files.size() - 1;
        Result<Void, StorageError> recovered = log.recover(files.get(i), last, replay);
        if (!recovered.isOk()) {
          return Result.err(recovered.error());
        }
      }
      log.roll();
      return Result.ok(log);
    } catch (IOException e) {
      return Result.err(new StorageError.Io("open log in " + folder.path(), e.toString()));
    }
  }

  private List<Path> existingSegments() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files
          .filter(file -> file.getFileName().toString().startsWith(PREFIX))
          .sorted()
          .toList();
    }
  }

  private Result<Void, StorageError> recover(Path file, boolean last, Consumer<LogRecord> replay)
      throws IOException {
    ByteBuffer content = ByteBuffer.wrap(Files.readAllBytes(file));
    segments.put(file, new HashMap<>());
    String sequence = file.getFileName().toString().substring(PREFIX.length());
    nextSequence = Math.max(nextSequence, Long.parseLong(sequence) + 1);
    while (content.hasRemaining()) {
      int start = content.position();
      byte[] batch = FrameFormat.readFrame(content);
      if (batch == null) {
        return handleBrokenFrame(file, content, start, last);
      }
      for (LogRecord logRecord : decodeBatch(batch)) {
        track(file, logRecord);
        replay.accept(logRecord);
      }
    }
    return Result.ok(null);
  }

  private Result<Void, StorageError> handleBrokenFrame(
      Path file, ByteBuffer content, int start, boolean last) throws IOException {
    if (!last || FrameFormat.hasFrameAfter(content, start)) {
      EVENTS.log(EventCode.LOG_DAMAGED, "file", file, "offset", start);
      return Result.err(new StorageError.Damaged(file.toString(), start));
    }
    EVENTS.log(
        EventCode.LOG_TAIL_TRUNCATED,
        "file",
        file,
        "offset",
        start,
        "bytes",
        content.limit() - start);
    bytesDropped += content.limit() - start;
    try (DiskFile torn = disk.open(file)) {
      torn.truncate(start);
      torn.sync();
    }
    return Result.ok(null);
  }

  /** The length of the torn write that was removed from the end of the log. */
  public long bytesDropped() {
    return bytesDropped;
  }

  /** Writes and syncs records as one batch. When it returns, they are durable. */
  public void append(List<LogRecord> batch) throws IOException {
    if (currentFile.length() >= maxSegmentLength) {
      roll();
    }
    write(batch);
    currentFile.sync();
  }

  private void write(List<LogRecord> batch) throws IOException {
    currentFile.append(FrameFormat.frame(encodeBatch(batch)));
    batch.forEach(logRecord -> track(currentSegment, logRecord));
  }

  private void track(Path segment, LogRecord logRecord) {
    if (logRecord instanceof EntryRecord entry) {
      segments.get(segment).merge(entry.group(), entry.entry().index(), Math::max);
    } else if (logRecord instanceof HardStateRecord hardState) {
      hardStates.put(hardState.group(), hardState);
    } else if (logRecord instanceof BootstrapRecord bootstrap) {
      bootstraps.put(bootstrap.group(), bootstrap);
    }
  }

  /**
   * Starts a segment with the current terms, votes and bootstrap configurations, so that older
   * segments can be deleted.
   */
  private void roll() throws IOException {
    if (currentFile != null) {
      currentFile.close();
    }
    currentSegment = folder.resolve(String.format("%s%012d", PREFIX, nextSequence++));
    currentFile = disk.create(currentSegment);
    segments.put(currentSegment, new HashMap<>());
    List<LogRecord> headRecords = new ArrayList<>(bootstraps.values());
    headRecords.addAll(hardStates.values());
    if (!headRecords.isEmpty()) {
      write(headRecords);
      currentFile.sync();
    }
    disk.syncFolder(folder);
  }

  /** Deletes the oldest segments whose entries are all covered by {@code snapshotIndexes}. */
  public void deleteCoveredSegments(Map<Integer, Long> snapshotIndexes) throws IOException {
    List<Path> oldestFirst = new ArrayList<>(segments.keySet());
    for (Path segment : oldestFirst) {
      boolean covered =
          segments.get(segment).entrySet().stream()
              .allMatch(e -> e.getValue() <= snapshotIndexes.getOrDefault(e.getKey(), 0L));
      if (segment.equals(currentSegment) || !covered) {
        return;
      }
      disk.delete(segment);
      segments.remove(segment);
    }
  }

  private static byte[] encodeBatch(List<LogRecord> batch) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    DataOutputStream out = new DataOutputStream(bytes);
    for (LogRecord logRecord : batch) {
      byte[] encoded = ObjectCodec.encode(logRecord);
      out.writeInt(encoded.length);
      out.write(encoded);
    }
    return bytes.toByteArray();
  }

  private static List<LogRecord> decodeBatch(byte[] batch) throws IOException {
    List<LogRecord> decoded = new ArrayList<>();
    ByteBuffer buffer = ByteBuffer.wrap(batch);
    while (buffer.hasRemaining()) {
      byte[] encoded = new byte[buffer.getInt()];
      buffer.get(encoded);
      Result<LogRecord, ObjectCodec.CodecError> logRecord =
          ObjectCodec.decode(encoded, LogRecord.class);
      if (!logRecord.isOk()) {
        throw new IOException("cannot decode log record: " + logRecord.error().reason());
      }
      decoded.add(logRecord.value());
    }
    return decoded;
  }

  @Override
  public void close() throws IOException {
    currentFile.close();
  }
}
