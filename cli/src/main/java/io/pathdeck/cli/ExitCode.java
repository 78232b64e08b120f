package io.pathdeck.cli;

/** Exit codes of the command line. */
public enum ExitCode {
  OK(0),
  FAILURE(1),
  USAGE(2),
  CONFLICT(3),
  UNAVAILABLE(4),
  NOT_FOUND(5);

  private final int value;

  ExitCode(int value) {
    this.value = value;
  }

  /** The number the process exits with. */
  public int value() {
    return value;
  }
}
