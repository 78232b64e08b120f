package io.pathdeck.state;

import io.pathdeck.protocol.command.CommandEnvelope;
import io.pathdeck.protocol.command.CommandResult;
import io.pathdeck.protocol.query.Query;
import io.pathdeck.protocol.query.QueryResult;
import java.util.Iterator;

/**
 * A deterministic state machine driven by a replicated log.
 *
 * <p>Its only clock is the highest proposal time it has applied, so that all replicas agree on what
 * has expired. It is confined to one thread; captured snapshots may be read by another.
 */
public interface StateMachine {
  /** The highest proposal time applied, snapshots included. */
  long timeMs();

  /** Applies a committed command. */
  CommandResult apply(CommandEnvelope envelope);

  /** Whether state will expire, so that time must advance even without other commands. */
  boolean needsTimeAdvance();

  /** Answers a read from the applied state. */
  QueryResult query(Query query);

  /** Captures the state quickly; the returned records are unaffected by later commands. */
  Iterator<Object> captureSnapshot();

  /** Replaces the state by snapshot records. */
  void restoreSnapshot(Iterator<Object> records);
}
