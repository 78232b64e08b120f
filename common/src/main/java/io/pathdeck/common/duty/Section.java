package io.pathdeck.common.duty;

/**
 * One section of a process's blackboard: a single duty publishes immutable snapshots, any thread
 * reads the newest one.
 */
public final class Section<T> {

  /** A snapshot and its position in the sequence of published snapshots. */
  public record Snapshot<T>(long version, T value) {}

  private volatile Snapshot<T> current;

  public Section(T initial) {
    this.current = new Snapshot<>(0, initial);
  }

  /** Publishes a snapshot; only the section's writer calls this. */
  public void publish(T value) {
    current = new Snapshot<>(current.version() + 1, value);
  }

  /** The newest snapshot with its version. */
  public Snapshot<T> snapshot() {
    return current;
  }

  /** The newest value. */
  public T read() {
    return current.value();
  }
}
