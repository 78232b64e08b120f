package io.pathdeck.protocol.model;

import java.util.ArrayList;
import java.util.List;

/** The whole configuration that operators declare. */
public record Declaration(
    List<TenantSpec> tenants, List<ServiceSpec> services, List<EngineSpec> engines) {
  /** A declaration without any resource. */
  public static final Declaration EMPTY = new Declaration(List.of(), List.of(), List.of());

  public Declaration {
    tenants = new ArrayList<>(tenants);
    services = new ArrayList<>(services);
    engines = new ArrayList<>(engines);
  }
}
