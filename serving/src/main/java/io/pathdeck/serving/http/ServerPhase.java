package io.pathdeck.serving.http;

/** The lifecycle phases of a server; transitions go only to a later phase. */
enum ServerPhase {
  /** Accepts connections and requests. */
  SERVING,
  /** Accepts connections and requests, but closes each connection after its next response. */
  CLOSING_CONNECTIONS,
  /**
   * Accepts no connections, refuses new requests as not run and closes each connection after the
   * responses to all requests read from it.
   */
  DRAINING,
  /** All connections are closed. */
  CLOSED
}
