package io.pathdeck.fleet.adapter;

/** What an engine is told of the tenant whose request it gets. */
public sealed interface EngineTenant {
  /** The fleet has no tenants: what the caller sent stays. */
  record PassThrough() implements EngineTenant {}

  /** No tenant is told, whatever the caller sent. */
  record Anonymous() implements EngineTenant {}

  /** The tenant of this name, whatever the caller sent. */
  record Named(String name) implements EngineTenant {}

  /** The tenant of a batch job; {@code owner} is empty when the fleet had none. */
  static EngineTenant ofOwner(String owner) {
    return owner.isEmpty() ? new PassThrough() : new Named(owner);
  }
}
