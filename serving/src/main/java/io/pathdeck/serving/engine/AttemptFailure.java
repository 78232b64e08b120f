package io.pathdeck.serving.engine;

/** Why an attempt did not complete. Retry policy asks only {@link #mayHaveRun}. */
public sealed interface AttemptFailure {

  /** Whether the engine may have started to run the request. */
  boolean mayHaveRun();

  /** No connection could be made; nothing was sent. */
  record ConnectFailed(String reason) implements AttemptFailure {
    @Override
    public boolean mayHaveRun() {
      return false;
    }
  }

  /** The engine said that it did not run the request: it is full or leaving. */
  record Refused(int status, boolean leaving, long retryAfterMs) implements AttemptFailure {
    @Override
    public boolean mayHaveRun() {
      return false;
    }
  }

  /** The engine found the request invalid; no other engine would take it either. */
  record Invalid(int status, byte[] body) implements AttemptFailure {
    @Override
    public boolean mayHaveRun() {
      return false;
    }
  }

  /** The stream broke off, stalled, skipped a token or belonged to another request. */
  record Broken(String reason) implements AttemptFailure {
    @Override
    public boolean mayHaveRun() {
      return true;
    }
  }
}
