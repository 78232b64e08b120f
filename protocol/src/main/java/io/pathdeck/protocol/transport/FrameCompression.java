package io.pathdeck.protocol.transport;

/**
 * Which frames a process compresses before it sends them. What it receives tells itself whether it
 * is compressed, so the two ends of a connection may differ.
 *
 * @param fromBytes the size of an encoded message from which on it is compressed; 0: none is
 */
public record FrameCompression(int fromBytes) {
  /** No frame is compressed. */
  public static final FrameCompression OFF = new FrameCompression(0);

  boolean appliesTo(byte[] body) {
    return fromBytes > 0 && body.length >= fromBytes;
  }
}
