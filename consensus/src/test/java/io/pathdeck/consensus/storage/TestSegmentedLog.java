package io.pathdeck.consensus.storage;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.common.result.Result;
import io.pathdeck.protocol.raft.EntryRecord;
import io.pathdeck.protocol.raft.HardStateRecord;
import io.pathdeck.protocol.raft.LogEntry;
import io.pathdeck.protocol.raft.LogRecord;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Synced records are recovered, a torn tail is truncated, and damage before the tail is reported.
 */
class TestSegmentedLog {
  private static final int BATCHES = 20;

  @TempDir Path folder;

  private static LogRecord entry(long index) {
    return new EntryRecord(1, new LogEntry(index, 1, new byte[] {(byte) index}, null));
  }

  private Result<SegmentedLog, StorageError> open(Consumer<LogRecord> replay) {
    return SegmentedLog.open(DataFolder.open(folder).value(), replay);
  }

  private Path writeLog() throws IOException {
    Result<SegmentedLog, StorageError> opened = open(record -> {});
    try (SegmentedLog log = opened.value()) {
      for (long index = 1; index <= BATCHES; index++) {
        log.append(List.of(entry(index), new HardStateRecord(1, index, 2)));
      }
    }
    return onlySegment();
  }

  private Path onlySegment() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files
          .filter(file -> file.getFileName().toString().startsWith("log-"))
          .findFirst()
          .get();
    }
  }

  private List<LogRecord> recover() {
    List<LogRecord> records = new ArrayList<>();
    Result<SegmentedLog, StorageError> opened = open(records::add);
    assertThat(opened.isOk()).isTrue();
    return records;
  }

  @Test
  void recoversAppendedRecords() throws IOException {
    writeLog();
    assertThat(recover()).hasSize(2 * BATCHES);
  }

  @Test
  void truncatesTornTail() throws IOException {
    Path segment = writeLog();
    byte[] content = Files.readAllBytes(segment);
    for (int removedBytes = 1; removedBytes < 40; removedBytes += 3) {
      Files.write(segment, Arrays.copyOf(content, content.length - removedBytes));
      deleteOtherSegments(segment);
      assertThat(recover()).as("truncated by %d bytes", removedBytes).hasSize(2 * (BATCHES - 1));
    }
  }

  private void deleteOtherSegments(Path kept) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        if (file.getFileName().toString().startsWith("log-") && !file.equals(kept)) {
          Files.delete(file);
        }
      }
    }
  }

  @Test
  void rejectsDamageBeforeTail() throws IOException {
    Path segment = writeLog();
    byte[] content = Files.readAllBytes(segment);
    content[content.length / 3] ^= 0x40;
    Files.write(segment, content);
    Result<SegmentedLog, StorageError> opened = open(record -> {});
    assertThat(opened.isOk()).isFalse();
    assertThat(opened.error()).isInstanceOf(StorageError.Damaged.class);
  }

  @Test
  void randomBytesOpenOrReportDamage() throws IOException {
    SplittableRandom random = new SplittableRandom(5);
    Path segment = folder.resolve("log-000000000001");
    for (int run = 0; run < 200; run++) {
      deleteOtherSegments(segment);
      byte[] randomBytes = new byte[random.nextInt(300)];
      random.nextBytes(randomBytes);
      Files.write(segment, randomBytes);
      Result<SegmentedLog, StorageError> opened = open(record -> {});
      assertThat(opened.isOk() || opened.error() instanceof StorageError.Damaged).isTrue();
    }
  }
}
