package io.pathdeck.control;

import io.pathdeck.protocol.message.Message;

/** The way to another controller. Messages may be lost, but are not changed or forged. */
public interface PeerLink {
  /** Sends a message without waiting. */
  void send(Message message);
}
