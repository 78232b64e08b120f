package io.pathdeck.serving.api;

import io.pathdeck.serving.http.ApiError;

/** Writes the response of one generation request to its caller. */
public interface ResponseWriter {
  /**
   * Writes complete stream events of the running attempt.
   *
   * @return false if the caller reads too slowly
   */
  boolean onEvents(byte[] events, int tokens);

  /** Completes the response. */
  void complete();

  /** Ends the response with an error; after a partial stream, the error is sent as an event. */
  void fail(ApiError error);
}
