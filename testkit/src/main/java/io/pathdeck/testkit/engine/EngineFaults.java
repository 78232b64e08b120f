package io.pathdeck.testkit.engine;

import java.util.Locale;
import java.util.Optional;

/** The fault that an emulated engine currently shows, set through its admin route. */
final class EngineFaults {

  /** What goes wrong. */
  enum Kind {
    NONE,
    /** The process ends at once. */
    CRASH,
    /** No step is made; connections stay open. */
    HANG,
    /** Steps take ten times as long. */
    SLOW,
    /** Streams end in the middle without their end marker. */
    TRUNCATE,
    /** Streams end in the middle with their end marker: a short answer that looks whole. */
    SHORT,
    /** Answers start two seconds late. */
    LATE,
    /** Answers carry the identifier of another request. */
    MISMATCH,
    /** Each new request is refused as not run. */
    REFUSE;

    static Optional<Kind> parse(String text) {
      for (Kind kind : values()) {
        if (kind.name().toLowerCase(Locale.ROOT).equals(text)) {
          return Optional.of(kind);
        }
      }
      return Optional.empty();
    }
  }

  private volatile Kind kind = Kind.NONE;
  private volatile boolean leaving;

  Kind kind() {
    return kind;
  }

  void set(Kind next) {
    kind = next;
  }

  boolean isLeaving() {
    return leaving;
  }

  void setLeaving(boolean value) {
    leaving = value;
  }
}
