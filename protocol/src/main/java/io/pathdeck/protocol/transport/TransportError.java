package io.pathdeck.protocol.transport;

/** Why a request to another process has no reply. */
public enum TransportError {
  /** No connection; the request was never sent. */
  NOT_CONNECTED,
  /** Too many requests are waiting; the request was never sent. */
  OVERLOADED,
  /** The connection was lost after sending; the request may have been handled. */
  CONNECTION_LOST,
  /** No reply in time; the request may have been handled. */
  TIMED_OUT;

  /** Whether the other process may have handled the request. */
  public boolean mayHaveRun() {
    return this == CONNECTION_LOST || this == TIMED_OUT;
  }
}
