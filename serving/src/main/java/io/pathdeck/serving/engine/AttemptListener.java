package io.pathdeck.serving.engine;

/** Receives the events of one attempt, in order, on one network thread. */
public interface AttemptListener {

  /** Handles a load report of the engine. */
  void onLoad(EngineLoad load);

  /**
   * Handles complete stream events, in sequence.
   *
   * @param events the events' {@code data:} lines with their separators
   * @param tokens the number of events with a token
   */
  void onEvents(byte[] events, int tokens);

  /** Handles the end marker, which completes the response. */
  void onCompleted();

  /** Handles any other end of the attempt. */
  void onFailed(AttemptFailure failure);
}
