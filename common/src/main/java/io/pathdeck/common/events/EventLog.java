package io.pathdeck.common.events;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Writes numbered events, each as one line with one JSON object.
 *
 * <p>Events that touch single requests are limited in lines a second; what was left out is counted
 * and told. Changes of what a process believes are always written, unless the queue before the
 * output is full: then lines are dropped, and their number is told once there is room.
 */
public final class EventLog {
  private static final JsonStringEncoder ENCODER = JsonStringEncoder.getInstance();

  /** Held while lines are queued, so that the room for them is still there. */
  private static final Object QUEUING = new Object();

  /** Lines that were dropped and not told yet; guarded by {@link #QUEUING}. */
  private static long droppedUntold;

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
    EventCounts.SHARED.onHappened(code);
    Level level = code.level();
    if (!logger.isEnabled(level)) {
      return;
    }
    LineBudget.Decision decision = LineBudget.SHARED.ask(code, System.nanoTime());
    if (decision.leftOutBefore() > 0) {
      write(Level.INFO, leftOutLine(code.label(), decision.leftOutBefore()));
    }
    if (decision.mayWrite()) {
      write(level, line(code, cause, fields));
    } else {
      EventCounts.SHARED.onLeftOut();
    }
  }

  private void write(Level level, String line) {
    synchronized (QUEUING) {
      int lines = droppedUntold > 0 ? 2 : 1;
      if (!EventLogConfiguration.hasRoomFor(lines)) {
        EventCounts.SHARED.onDropped();
        droppedUntold++;
        return;
      }
      if (droppedUntold > 0) {
        logger.log(Level.INFO, leftOutLine("full-queue", droppedUntold));
        droppedUntold = 0;
      }
      logger.log(level, line);
    }
  }

  private static String leftOutLine(String of, long count) {
    return line(EventCode.LINES_LEFT_OUT, null, "of", of, "count", count);
  }

  /** The line of an event, as it is written. */
  static String line(EventCode code, Throwable cause, Object... fields) {
    StringBuilder line = new StringBuilder(160);
    line.append("{\"time\":\"").append(Instant.now().truncatedTo(ChronoUnit.MILLIS));
    line.append("\",\"level\":\"").append(code.level());
    line.append("\",\"code\":\"").append(code.id());
    line.append("\",\"event\":\"").append(code.label()).append('"');
    for (int i = 0; i + 1 < fields.length; i += 2) {
      field(line, String.valueOf(fields[i]), fields[i + 1]);
    }
    if (cause != null) {
      field(line, "cause", cause);
    }
    return line.append('}').toString();
  }

  private static void field(StringBuilder line, String key, Object value) {
    line.append(",\"").append(key).append("\":");
    boolean plain =
        value == null
            || value instanceof Long
            || value instanceof Integer
            || value instanceof Boolean;
    if (plain) {
      line.append(value);
      return;
    }
    line.append('"');
    ENCODER.quoteAsString(String.valueOf(value), line);
    line.append('"');
  }
}
