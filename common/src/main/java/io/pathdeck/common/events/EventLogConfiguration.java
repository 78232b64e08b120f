package io.pathdeck.common.events;

import java.io.Serializable;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.Appender;
import org.apache.logging.log4j.core.Layout;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.AsyncAppender;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.AbstractConfiguration;
import org.apache.logging.log4j.core.config.AppenderRef;
import org.apache.logging.log4j.core.config.ConfigurationSource;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.LoggerConfig;

/**
 * How log lines are written, built in code: reading a configuration file takes longer than the rest
 * of a process's start.
 *
 * <p>Events are whole JSON lines. Writing them never blocks: a bounded queue stands before the
 * output, and when its reader is too slow, lines are dropped and counted. Warnings of libraries go
 * to standard error.
 */
public final class EventLogConfiguration extends AbstractConfiguration {
  /** The system property that names the output of events: SYSTEM_OUT or SYSTEM_ERR. */
  public static final String TARGET_PROPERTY = "pathdeck.log.target";

  /** The system property that names the lowest level of events that is written. */
  public static final String LEVEL_PROPERTY = "pathdeck.log.level";

  /** How many lines may wait for the output. */
  static final int QUEUE_LENGTH = 4_096;

  private static final String EVENTS_LOGGER = "io.pathdeck";
  private static final int SHUTDOWN_TIMEOUT_MS = 1_000;
  private static volatile AsyncAppender queue;

  EventLogConfiguration(LoggerContext context) {
    super(context, ConfigurationSource.NULL_SOURCE);
    isShutdownHookEnabled = false;
  }

  /** Puts the configuration in force; to be called before the first event is logged. */
  public static void install() {
    Configurator.initialize(new EventLogConfiguration(null));
  }

  /** Whether the queue has room for so many further lines; others would be dropped uncounted. */
  static boolean hasRoomFor(int lines) {
    AsyncAppender appender = queue;
    return appender == null || appender.getQueueRemainingCapacity() >= lines;
  }

  @Override
  protected void doConfigure() {
    ConsoleAppender.Target target =
        ConsoleAppender.Target.valueOf(System.getProperty(TARGET_PROPERTY, "SYSTEM_ERR"));
    addAppender(console("lines", target, new EventLineLayout(this)));
    Appender libraries =
        console("libraries", ConsoleAppender.Target.SYSTEM_ERR, new LibraryLineLayout(this));
    addAppender(libraries);
    AsyncAppender events =
        AsyncAppender.newBuilder()
            .setName("events")
            .setConfiguration(this)
            .setAppenderRefs(new AppenderRef[] {AppenderRef.createAppenderRef("lines", null, null)})
            .setBlocking(false)
            .setBufferSize(QUEUE_LENGTH)
            .setShutdownTimeout(SHUTDOWN_TIMEOUT_MS)
            .build();
    addAppender(events);
    queue = events;
    Level level = Level.toLevel(System.getProperty(LEVEL_PROPERTY), Level.INFO);
    LoggerConfig logger = new LoggerConfig(EVENTS_LOGGER, level, false);
    logger.addAppender(events, null, null);
    addLogger(EVENTS_LOGGER, logger);
    getRootLogger().setLevel(Level.WARN);
    getRootLogger().addAppender(libraries, null, null);
  }

  private Appender console(
      String name, ConsoleAppender.Target target, Layout<? extends Serializable> layout) {
    return ConsoleAppender.newBuilder()
        .setName(name)
        .setConfiguration(this)
        .setTarget(target)
        .setLayout(layout)
        .build();
  }
}
