package io.pathdeck.serving.engine;

import java.util.Locale;

/** The scheduling priority requested from an engine. */
public enum Priority {
  ONLINE,
  BATCH;

  /** Returns the value of the priority header. */
  public String headerValue() {
    return name().toLowerCase(Locale.ROOT);
  }
}
