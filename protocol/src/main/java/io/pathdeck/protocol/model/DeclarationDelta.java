package io.pathdeck.protocol.model;

import java.util.List;

/** The difference between two declarations: resources added or changed, and names removed. */
public record DeclarationDelta(
    Declaration upserts,
    List<String> removedTenants,
    List<String> removedServices,
    List<String> removedEngines) {

  /** Whether nothing differs. */
  public boolean isEmpty() {
    return upserts.tenants().isEmpty()
        && upserts.services().isEmpty()
        && upserts.engines().isEmpty()
        && removedTenants.isEmpty()
        && removedServices.isEmpty()
        && removedEngines.isEmpty();
  }
}
