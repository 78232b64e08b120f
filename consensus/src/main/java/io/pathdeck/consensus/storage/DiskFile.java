package io.pathdeck.consensus.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;

/** A file that is open for writing. */
public interface DiskFile extends Closeable {
  /** Appends all remaining bytes. */
  void append(ByteBuffer bytes) throws IOException;

  /** The length in bytes. */
  long length() throws IOException;

  /** Shortens the file. */
  void truncate(long length) throws IOException;

  /** Makes everything written durable, by this process or an earlier one. */
  void sync() throws IOException;
}
