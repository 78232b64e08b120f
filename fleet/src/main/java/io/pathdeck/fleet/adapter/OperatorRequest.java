package io.pathdeck.fleet.adapter;

import io.pathdeck.protocol.fleet.RouteTable;

/** A request of an operator to a coordinator. */
public sealed interface OperatorRequest {

  /** Replaces the configuration. */
  record PutRoutes(RouteTable table) implements OperatorRequest {}

  /** Reads the configuration. */
  record ReadRoutes() implements OperatorRequest {}

  /** Starts to retire a store. */
  record RetireStore(String name) implements OperatorRequest {}

  /** Reads whether a store has been retired. */
  record ReadRetirement(String name) implements OperatorRequest {}

  /** Evacuates a zone, or takes its evacuation back. */
  record SetEvacuated(String zone, boolean evacuated) implements OperatorRequest {}

  /** Reads which zones are evacuated. */
  record ReadEvacuations() implements OperatorRequest {}

  /** A request with invalid content; {@code reason} is returned to the operator. */
  record Invalid(String reason) implements OperatorRequest {}

  /** A call that this protocol does not define. */
  record Unknown() implements OperatorRequest {}
}
