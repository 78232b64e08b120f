package io.pathdeck.serving.engine;

import java.util.Locale;

/** The priority an engine is asked to give a request. */
public enum Priority {
  ONLINE,
  BATCH;

  /** The value of the request header. */
  public String headerValue() {
    return name().toLowerCase(Locale.ROOT);
  }
}
