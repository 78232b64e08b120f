package io.pathdeck.consensus.storage;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/** The frame of every durable record: a magic number, the length, a CRC-32C and the content. */
final class FrameFormat {
  static final long MAGIC = 0x5044_4c4f_4746_524dL;
  static final int HEADER_LENGTH = Long.BYTES + Integer.BYTES + Integer.BYTES;
  static final int MAX_CONTENT_LENGTH = 256 * 1024 * 1024;

  private FrameFormat() {}

  /** Returns a frame around {@code content}, ready to be written. */
  static ByteBuffer frame(byte[] content) {
    ByteBuffer frame = ByteBuffer.allocate(HEADER_LENGTH + content.length);
    frame.putLong(MAGIC).putInt(content.length).putInt(checksum(content)).put(content);
    return frame.flip();
  }

  /**
   * Reads the frame at the buffer's position and advances past it; returns null when it is not
   * intact.
   */
  static byte[] readFrame(ByteBuffer buffer) {
    int start = buffer.position();
    if (buffer.remaining() < HEADER_LENGTH || buffer.getLong(start) != MAGIC) {
      return null;
    }
    int length = buffer.getInt(start + Long.BYTES);
    int checksum = buffer.getInt(start + Long.BYTES + Integer.BYTES);
    boolean validLength = length >= 0 && length <= buffer.remaining() - HEADER_LENGTH;
    if (!validLength) {
      return null;
    }
    byte[] content = new byte[length];
    buffer.get(start + HEADER_LENGTH, content);
    if (checksum(content) != checksum) {
      return null;
    }
    buffer.position(start + HEADER_LENGTH + length);
    return content;
  }

  /** Whether an intact frame starts anywhere after {@code offset}. */
  static boolean hasFrameAfter(ByteBuffer buffer, int offset) {
    ByteBuffer probe = buffer.duplicate();
    for (int position = offset + 1; position <= probe.limit() - HEADER_LENGTH; position++) {
      if (probe.getLong(position) == MAGIC) {
        probe.position(position);
        if (readFrame(probe) != null) {
          return true;
        }
      }
    }
    return false;
  }

  private static int checksum(byte[] content) {
    CRC32C crc = new CRC32C();
    crc.update(content, 0, content.length);
    return (int) crc.getValue();
  }
}
