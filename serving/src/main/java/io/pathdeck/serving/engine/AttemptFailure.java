package io.pathdeck.serving.engine;

/** The reason for the failure of an attempt; retry decisions depend on {@link #mayHaveRun}. */
public sealed interface AttemptFailure {

  /** Returns whether the engine may have started to run the request. */
  boolean mayHaveRun();

  /** Connecting failed and nothing was sent. */
  record ConnectFailed(String reason) implements AttemptFailure {
    @Override
    public boolean mayHaveRun() {
      return false;
    }
  }

  /** The engine reported that it did not run the request because it is full or shutting down. */
  record Refused(int status, boolean leaving, long retryAfterMs) implements AttemptFailure {
    @Override
    public boolean mayHaveRun() {
      return false;
    }
  }

  /** The engine rejected the request as invalid; a retry on another engine is pointless. */
  record Invalid(int status, byte[] body) implements AttemptFailure {
    @Override
    public boolean mayHaveRun() {
      return false;
    }
  }

  /** The stream failed, timed out, had a gap or belonged to another request. */
  record Broken(String reason) implements AttemptFailure {
    @Override
    public boolean mayHaveRun() {
      return true;
    }
  }
}
