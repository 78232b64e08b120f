package io.pathdeck.serving.api;

import io.pathdeck.serving.http.ApiError;

/** Writes the answer of one generation request to its caller. */
public interface ResponseWriter {
  /**
   * Takes whole stream events of the running attempt.
   *
   * @return false when the caller is too slow to take them
   */
  boolean onEvents(byte[] events, int tokens);

  /** Ends a whole answer. */
  void complete();

  /** Ends with an error; if part of the answer was sent, the error says that it is not whole. */
  void fail(ApiError error);
}
