package io.pathdeck.common.events;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.config.Configuration;
import org.apache.logging.log4j.core.layout.AbstractStringLayout;

/** Writes what libraries log: time, level, thread, message and the top of a stack trace. */
final class LibraryLineLayout extends AbstractStringLayout {
  private static final int FRAMES = 6;

  LibraryLineLayout(Configuration configuration) {
    super(configuration, StandardCharsets.UTF_8, null, null);
  }

  @Override
  public String toSerializable(LogEvent event) {
    StringBuilder line = new StringBuilder(160);
    line.append(Instant.ofEpochMilli(event.getTimeMillis())).append(' ').append(event.getLevel());
    line.append(" [").append(event.getThreadName()).append("] ");
    line.append(event.getMessage().getFormattedMessage()).append('\n');
    Throwable thrown = event.getThrown();
    if (thrown != null) {
      line.append(thrown).append('\n');
      StackTraceElement[] frames = thrown.getStackTrace();
      for (int i = 0; i < Math.min(FRAMES, frames.length); i++) {
        line.append("\tat ").append(frames[i]).append('\n');
      }
    }
    return line.toString();
  }
}
