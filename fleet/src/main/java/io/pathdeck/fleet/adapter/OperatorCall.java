package io.pathdeck.fleet.adapter;

import io.pathdeck.protocol.fleet.RouteTable;

/** What an operator asks a coordinator for. */
public sealed interface OperatorCall {

  /** Sends a configuration that was read and checked. */
  record PutRoutes(RouteTable table) implements OperatorCall {}

  /** Reads the configuration. */
  record ReadRoutes() implements OperatorCall {}

  /** Asks for a store to be emptied. */
  record EmptyStore(String name) implements OperatorCall {}

  /** Asks how far a store is emptied. */
  record ReadEmptying(String name) implements OperatorCall {}

  /** What was sent is invalid. */
  record Invalid(String reason) implements OperatorCall {}

  /** Not a call of this protocol. */
  record Unknown() implements OperatorCall {}
}
