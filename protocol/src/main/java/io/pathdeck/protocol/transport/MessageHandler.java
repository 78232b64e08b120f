package io.pathdeck.protocol.transport;

import io.pathdeck.protocol.message.Message;

/** Receives messages on a network thread; implementations only hand them on. */
public interface MessageHandler {

  /** Sends the reply to a request; ignored for one-way messages. */
  interface ReplySink {
    /** Sends {@code reply}. Thread-safe. */
    void reply(Message reply);
  }

  /** Handles one message. */
  void onMessage(Message message, ReplySink replySink);
}
