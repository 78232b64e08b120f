package io.pathdeck.protocol.transport;

import io.pathdeck.protocol.message.Message;

/** Counts the frames of a connection in both directions; called on the connection's event loop. */
@FunctionalInterface
public interface FrameMeter {
  /** Counts nothing. */
  FrameMeter NONE = (message, bytes) -> {};

  /**
   * Counts a frame.
   *
   * @param bytes its length on the connection
   */
  void onFrame(Message message, int bytes);
}
