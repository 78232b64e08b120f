package io.pathdeck.serving.api;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The completion window of a batch, for example {@code 24h}. */
final class CompletionWindow {
  private static final Pattern SYNTAX = Pattern.compile("(\\d{1,6})([smh])");
  private static final long SECOND_MS = 1_000;
  private static final long MINUTE_MS = 60 * SECOND_MS;
  private static final long HOUR_MS = 60 * MINUTE_MS;
  private static final long MAX_MS = 168 * HOUR_MS;

  private CompletionWindow() {}

  static Optional<Long> parseMs(String text) {
    Matcher matcher = SYNTAX.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    long unit =
        switch (matcher.group(2)) {
          case "s" -> SECOND_MS;
          case "m" -> MINUTE_MS;
          default -> HOUR_MS;
        };
    long windowMs = Long.parseLong(matcher.group(1)) * unit;
    return windowMs >= SECOND_MS && windowMs <= MAX_MS ? Optional.of(windowMs) : Optional.empty();
  }

  static String format(long windowMs) {
    if (windowMs % HOUR_MS == 0) {
      return windowMs / HOUR_MS + "h";
    }
    return windowMs % MINUTE_MS == 0 ? windowMs / MINUTE_MS + "m" : windowMs / SECOND_MS + "s";
  }
}
