package io.pathdeck.serving.config;

import io.pathdeck.protocol.model.Declaration;
import io.pathdeck.protocol.model.EngineSpec;
import io.pathdeck.protocol.model.ServiceSpec;
import io.pathdeck.protocol.model.TenantSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** An immutable, indexed view of the current configuration. */
public final class ConfigurationView {
  /** The view before the first configuration is received. */
  public static final ConfigurationView EMPTY = new ConfigurationView(0, Declaration.EMPTY, 1, 1);

  private final long version;
  private final Declaration declaration;
  private final int partitions;
  private final int liveNodes;
  private final Map<String, TenantSpec> tenantsByKeyHash = new HashMap<>();
  private final Map<String, TenantSpec> tenantsByName = new HashMap<>();
  private final Map<String, ServiceSpec> servicesByModel = new HashMap<>();
  private final Map<String, List<EngineSpec>> enginesByService = new HashMap<>();

  public ConfigurationView(long version, Declaration declaration, int partitions, int liveNodes) {
    this.version = version;
    this.declaration = declaration;
    this.partitions = partitions;
    this.liveNodes = liveNodes;
    for (TenantSpec tenant : declaration.tenants()) {
      tenantsByName.put(tenant.name(), tenant);
      tenant.keyHashes().forEach(hash -> tenantsByKeyHash.put(hash, tenant));
    }
    declaration.services().forEach(service -> servicesByModel.put(service.model(), service));
    for (EngineSpec engine : declaration.engines()) {
      enginesByService.computeIfAbsent(engine.service(), key -> new ArrayList<>()).add(engine);
    }
  }

  public long version() {
    return version;
  }

  public int partitions() {
    return partitions;
  }

  /** Returns the number of nodes that share each tenant's limits. */
  public int liveNodes() {
    return liveNodes;
  }

  public Optional<TenantSpec> tenantByKeyHash(String hash) {
    return Optional.ofNullable(tenantsByKeyHash.get(hash));
  }

  public Optional<TenantSpec> tenant(String name) {
    return Optional.ofNullable(tenantsByName.get(name));
  }

  public Optional<ServiceSpec> serviceByModel(String model) {
    return Optional.ofNullable(servicesByModel.get(model));
  }

  public List<TenantSpec> tenants() {
    return declaration.tenants();
  }

  public List<ServiceSpec> services() {
    return declaration.services();
  }

  public List<EngineSpec> engines() {
    return declaration.engines();
  }

  public List<EngineSpec> engines(String service) {
    return enginesByService.getOrDefault(service, List.of());
  }
}
