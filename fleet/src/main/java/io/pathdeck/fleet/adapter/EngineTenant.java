package io.pathdeck.fleet.adapter;

/** Selects the tenant headers of a request to an engine. */
public sealed interface EngineTenant {
  /** Forwards the caller's tenant headers unchanged; used if the fleet has no tenants. */
  record PassThrough() implements EngineTenant {}

  /** Sends no tenant; removes the caller's tenant headers. */
  record Anonymous() implements EngineTenant {}

  /** Sends the tenant {@code name}; removes the caller's tenant headers. */
  record Named(String name) implements EngineTenant {}

  /**
   * Selects the headers for a batch job.
   *
   * @param owner the job's tenant; empty if its caller was anonymous or the fleet had no tenants
   * @param hasTenants whether the fleet has tenants
   */
  static EngineTenant ofOwner(String owner, boolean hasTenants) {
    if (!owner.isEmpty()) {
      return new Named(owner);
    }
    return hasTenants ? new Anonymous() : new PassThrough();
  }
}
