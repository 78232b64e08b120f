package io.pathdeck.state;

import io.pathdeck.protocol.model.FileView;
import java.util.ArrayList;
import java.util.List;

/** An uploaded file: chunks of lines in order. */
final class StoredFile {
  private final String fileId;
  private final String tenant;
  private final String filename;
  private final String purpose;
  private final long createdAtMs;
  private final List<List<byte[]>> chunks = new ArrayList<>();
  private int[] firstLineOfChunk = new int[0];
  private long sizeBytes;
  private int lineCount;
  private boolean sealed;

  StoredFile(String fileId, String tenant, String filename, String purpose, long createdAtMs) {
    this.fileId = fileId;
    this.tenant = tenant;
    this.filename = filename;
    this.purpose = purpose;
    this.createdAtMs = createdAtMs;
  }

  static StoredFile restore(FileView view) {
    StoredFile file =
        new StoredFile(
            view.fileId(), view.tenant(), view.filename(), view.purpose(), view.createdAtMs());
    file.sealed = view.sealed();
    return file;
  }

  String fileId() {
    return fileId;
  }

  boolean belongsTo(String caller) {
    return tenant.equals(caller);
  }

  boolean isSealed() {
    return sealed;
  }

  int lineCount() {
    return lineCount;
  }

  /**
   * Adds the next chunk, or ignores a duplicate; returns false when an earlier chunk is missing.
   */
  boolean append(int chunkIndex, List<byte[]> chunk) {
    if (chunkIndex < chunks.size()) {
      return true;
    }
    if (chunkIndex > chunks.size()) {
      return false;
    }
    firstLineOfChunk = java.util.Arrays.copyOf(firstLineOfChunk, chunks.size() + 1);
    firstLineOfChunk[chunks.size()] = lineCount;
    chunks.add(chunk);
    lineCount += chunk.size();
    for (byte[] line : chunk) {
      sizeBytes += line.length + 1;
    }
    return true;
  }

  boolean seal(int expectedChunks) {
    sealed = sealed || chunks.size() == expectedChunks;
    return sealed;
  }

  byte[] line(int index) {
    int position = java.util.Arrays.binarySearch(firstLineOfChunk, index);
    int chunk = position >= 0 ? position : -position - 2;
    return chunks.get(chunk).get(index - firstLineOfChunk[chunk]);
  }

  List<List<byte[]>> chunks() {
    return chunks;
  }

  FileView view() {
    return new FileView(
        fileId, tenant, filename, purpose, sizeBytes, lineCount, sealed, createdAtMs);
  }
}
