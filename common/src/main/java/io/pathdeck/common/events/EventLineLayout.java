package io.pathdeck.common.events;

import java.nio.charset.StandardCharsets;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.config.Configuration;
import org.apache.logging.log4j.core.layout.AbstractStringLayout;

/** Writes the message of an event, which is a whole line. */
final class EventLineLayout extends AbstractStringLayout {
  EventLineLayout(Configuration configuration) {
    super(configuration, StandardCharsets.UTF_8, null, null);
  }

  @Override
  public String toSerializable(LogEvent event) {
    return event.getMessage().getFormattedMessage() + '\n';
  }
}
