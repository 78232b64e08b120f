package io.pathdeck.state;

import io.pathdeck.protocol.command.CommandEnvelope;
import io.pathdeck.protocol.command.CommandResult;
import io.pathdeck.protocol.query.Query;
import io.pathdeck.protocol.query.QueryResult;
import java.util.Iterator;

/**
 * A deterministic state machine driven by a replicated log.
 *
 * <p>Its only clock is the highest proposal time of the applied commands, so that state expires at
 * the same log position on all replicas. It is confined to one thread; captured snapshots may be
 * read by another.
 */
public interface StateMachine {
  /** The highest proposal time of the applied commands, including those in a restored snapshot. */
  long logTimeMs();

  /** Applies a committed command. */
  CommandResult apply(CommandEnvelope envelope);

  /**
   * Whether state must expire even when no commands arrive, so that {@code AdvanceTime} has to be
   * proposed periodically.
   */
  boolean needsTimeAdvance();

  /** Answers a read from the applied state. */
  QueryResult query(Query query);

  /** Captures the state quickly; the returned records are unaffected by later commands. */
  Iterator<Object> captureSnapshot();

  /**
   * Replaces the state with the records of a snapshot.
   *
   * @throws IllegalArgumentException if the snapshot holds a record of an unknown type
   */
  void restoreSnapshot(Iterator<Object> records);

  /** Returns the exception for a record that a state machine cannot restore. */
  static IllegalArgumentException unknownRecord(Object record) {
    return new IllegalArgumentException(
        "the snapshot holds a record of an unknown type: " + record.getClass().getSimpleName());
  }
}
