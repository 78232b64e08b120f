package io.pathdeck.common.events;

import java.net.URI;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.config.Configuration;
import org.apache.logging.log4j.core.config.ConfigurationFactory;
import org.apache.logging.log4j.core.config.ConfigurationSource;

/**
 * Gives Log4j the configuration in programs that do not install it themselves; named in {@code
 * log4j2.component.properties}.
 */
public final class EventLogConfigurationFactory extends ConfigurationFactory {
  @Override
  protected String[] getSupportedTypes() {
    return new String[] {"*"};
  }

  @Override
  public Configuration getConfiguration(LoggerContext context, ConfigurationSource source) {
    return new EventLogConfiguration(context);
  }

  @Override
  public Configuration getConfiguration(LoggerContext context, String name, URI location) {
    return new EventLogConfiguration(context);
  }

  @Override
  public Configuration getConfiguration(
      LoggerContext context, String name, URI location, ClassLoader loader) {
    return new EventLogConfiguration(context);
  }
}
