package io.pathdeck.protocol.transport;

import io.pathdeck.protocol.message.Message;

/**
 * One frame between two processes.
 *
 * @param kind what the frame is
 * @param correlationId joins a reply to its request; 0 for one-way frames
 */
record Frame(Kind kind, long correlationId, Message message) {
  /** The version of the frame header; a peer with another version is refused. */
  static final byte VERSION = 1;

  /** What a frame is. The ordinal is the wire value. */
  enum Kind {
    ONE_WAY,
    REQUEST,
    REPLY
  }
}
