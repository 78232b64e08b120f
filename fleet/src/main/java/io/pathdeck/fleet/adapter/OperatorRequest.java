package io.pathdeck.fleet.adapter;

import io.pathdeck.protocol.fleet.RouteTable;

/** What an operator asks a coordinator for. */
public sealed interface OperatorRequest {

  /** Sends a configuration that was read and checked. */
  record PutRoutes(RouteTable table) implements OperatorRequest {}

  /** Reads the configuration. */
  record ReadRoutes() implements OperatorRequest {}

  /** Asks for a store to be emptied. */
  record RetireStore(String name) implements OperatorRequest {}

  /** Asks how far a store is emptied. */
  record ReadRetirement(String name) implements OperatorRequest {}

  /** What was sent is invalid. */
  record Invalid(String reason) implements OperatorRequest {}

  /** Not a call of this protocol. */
  record Unknown() implements OperatorRequest {}
}
