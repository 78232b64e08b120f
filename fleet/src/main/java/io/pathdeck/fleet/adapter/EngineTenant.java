package io.pathdeck.fleet.adapter;

/** How the tenant of a request is passed to an engine. */
public sealed interface EngineTenant {
  /** The fleet has no tenants: what the caller sent is forwarded unchanged. */
  record PassThrough() implements EngineTenant {}

  /** No tenant is sent, whatever the caller sent. */
  record Anonymous() implements EngineTenant {}

  /** The tenant of this name is sent, whatever the caller sent. */
  record Named(String name) implements EngineTenant {}

  /** Returns the tenant of a batch job; {@code owner} is empty if the fleet had no tenants. */
  static EngineTenant ofOwner(String owner) {
    return owner.isEmpty() ? new PassThrough() : new Named(owner);
  }
}
