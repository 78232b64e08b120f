package io.pathdeck.common.events;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Writes numbered events with {@code key=value} fields. */
public final class EventLog {
  private final Logger logger;

  private EventLog(Logger logger) {
    this.logger = logger;
  }

  /** The event log of {@code owner}. */
  public static EventLog of(Class<?> owner) {
    return new EventLog(LogManager.getLogger(owner));
  }

  /** Logs an event; {@code fields} alternates keys and values. */
  public void log(EventCode code, Object... fields) {
    log(code, null, fields);
  }

  /** Logs an event with the failure that caused it. */
  public void log(EventCode code, Throwable cause, Object... fields) {
    Level level = code.level();
    if (!logger.isEnabled(level)) {
      return;
    }
    StringBuilder line = new StringBuilder(code.id()).append(' ').append(code.label());
    for (int i = 0; i + 1 < fields.length; i += 2) {
      line.append(' ').append(fields[i]).append('=').append(quote(String.valueOf(fields[i + 1])));
    }
    logger.log(level, line, cause);
  }

  private static String quote(String value) {
    boolean plain = !value.isEmpty() && value.chars().noneMatch(c -> c <= ' ' || c == '"');
    return plain ? value : '"' + value.replace("\"", "'").replace("\n", "\\n") + '"';
  }
}
