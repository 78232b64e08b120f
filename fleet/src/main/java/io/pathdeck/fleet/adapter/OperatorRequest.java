package io.pathdeck.fleet.adapter;

import io.pathdeck.protocol.fleet.RouteTable;

/** A request of an operator to a coordinator. */
public sealed interface OperatorRequest {

  /** Sets the configuration. */
  record PutRoutes(RouteTable table) implements OperatorRequest {}

  /** Reads the configuration. */
  record ReadRoutes() implements OperatorRequest {}

  /** Starts to retire a store. */
  record RetireStore(String name) implements OperatorRequest {}

  /** Reads whether a store has been retired. */
  record ReadRetirement(String name) implements OperatorRequest {}

  /** The request is invalid. */
  record Invalid(String reason) implements OperatorRequest {}

  /** Not a request of this protocol. */
  record Unknown() implements OperatorRequest {}
}
