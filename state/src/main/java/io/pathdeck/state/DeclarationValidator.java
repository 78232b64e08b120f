package io.pathdeck.state;

import io.pathdeck.protocol.model.Declaration;
import io.pathdeck.protocol.model.EngineSpec;
import io.pathdeck.protocol.model.ServiceSpec;
import io.pathdeck.protocol.model.TenantSpec;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/** Checks a declaration before it is accepted. */
public final class DeclarationValidator {
  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");
  private static final Pattern SHA_256 = Pattern.compile("[0-9a-f]{64}");
  private static final Pattern ADDRESS = Pattern.compile("[^:\\s]+:\\d{1,5}");
  private static final int MAX_WEIGHT = 10_000;

  private final List<String> problems = new ArrayList<>();

  private DeclarationValidator() {}

  /** The problems found; empty for a valid declaration. */
  public static List<String> validate(Declaration declaration) {
    DeclarationValidator validator = new DeclarationValidator();
    validator.checkTenants(declaration.tenants());
    Set<String> services = validator.checkServices(declaration.services());
    validator.checkEngines(declaration.engines(), services);
    return validator.problems;
  }

  private void checkTenants(List<TenantSpec> tenants) {
    Set<String> names = new HashSet<>();
    Set<String> keys = new HashSet<>();
    for (TenantSpec tenant : tenants) {
      String label = "tenant/" + tenant.name();
      checkName(label, tenant.name(), names);
      checkWeight(label, tenant.weight());
      require(tenant.maxConcurrentRequests() >= 0, label, "max_concurrent_requests must be >= 0");
      require(tenant.requestsPerSecond() >= 0, label, "requests_per_second must be >= 0");
      for (String hash : tenant.keyHashes()) {
        require(SHA_256.matcher(hash).matches(), label, "key hash is not a SHA-256 in hex");
        require(keys.add(hash), label, "key is used twice");
      }
    }
  }

  private Set<String> checkServices(List<ServiceSpec> services) {
    Set<String> names = new HashSet<>();
    Set<String> models = new HashSet<>();
    for (ServiceSpec service : services) {
      String label = "service/" + service.name();
      checkName(label, service.name(), names);
      checkWeight(label, service.weight());
      require(models.add(service.model()), label, "model is served by two services");
    }
    return names;
  }

  private void checkEngines(List<EngineSpec> engines, Set<String> services) {
    Set<String> names = new HashSet<>();
    for (EngineSpec engine : engines) {
      String label = "engine/" + engine.name();
      checkName(label, engine.name(), names);
      require(ADDRESS.matcher(engine.address()).matches(), label, "address is not host:port");
      require(services.contains(engine.service()), label, "unknown service " + engine.service());
      require(engine.batchSlots() >= 0, label, "batch_slots must be >= 0");
    }
  }

  private void checkName(String label, String name, Set<String> names) {
    require(NAME.matcher(name).matches(), label, "name must match " + NAME);
    require(names.add(name), label, "name is used twice");
  }

  private void checkWeight(String label, int weight) {
    require(weight >= 1 && weight <= MAX_WEIGHT, label, "weight must be 1 to " + MAX_WEIGHT);
  }

  private void require(boolean valid, String label, String problem) {
    if (!valid) {
      problems.add(label + ": " + problem);
    }
  }
}
