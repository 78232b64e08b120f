package io.pathdeck.serving.engine;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** An engine's reported load: running sequences by priority, and waiting sequences. */
public record EngineLoad(int online, int batch, int waiting) {
  private static final Pattern SYNTAX =
      Pattern.compile("online=(\\d{1,6});batch=(\\d{1,6});waiting=(\\d{1,6})");

  /** Parses the header value; empty if it is malformed or null. */
  public static Optional<EngineLoad> parse(String header) {
    if (header == null) {
      return Optional.empty();
    }
    Matcher matcher = SYNTAX.matcher(header);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    return Optional.of(
        new EngineLoad(
            Integer.parseInt(matcher.group(1)),
            Integer.parseInt(matcher.group(2)),
            Integer.parseInt(matcher.group(3))));
  }

  /** Returns the header value. */
  public String format() {
    return "online=" + online + ";batch=" + batch + ";waiting=" + waiting;
  }
}
