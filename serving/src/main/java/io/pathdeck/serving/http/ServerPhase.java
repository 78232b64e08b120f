package io.pathdeck.serving.http;

/** How far a server has come in its life; it only ever goes on to a later phase. */
enum ServerPhase {
  /** Takes connections and requests. */
  SERVING,
  /** Takes both still, but asks callers to close each connection after its next response. */
  CLOSING_CONNECTIONS,
  /**
   * Takes no connections, refuses new requests as not run and closes a connection once all that was
   * read of it is answered.
   */
  DRAINING,
  /** Has closed all connections. */
  CLOSED
}
