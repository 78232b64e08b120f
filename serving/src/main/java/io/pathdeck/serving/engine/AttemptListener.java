package io.pathdeck.serving.engine;

/** Hears of one attempt, in order, on one network thread. */
public interface AttemptListener {

  /** The engine reported its load. */
  void onLoad(EngineLoad load);

  /**
   * Whole stream events arrived, in sequence.
   *
   * @param events the events' {@code data:} lines with their separators
   * @param tokens how many of them carry a token
   */
  void onEvents(byte[] events, int tokens);

  /** The stream ended with its end marker: the answer is whole. */
  void onCompleted();

  /** The attempt ended in any other way. */
  void onFailed(AttemptFailure failure);
}
