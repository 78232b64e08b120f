package io.pathdeck.state;

import io.pathdeck.protocol.model.Declaration;
import io.pathdeck.protocol.model.DeclarationDelta;
import io.pathdeck.protocol.model.EngineSpec;
import io.pathdeck.protocol.model.ServiceSpec;
import io.pathdeck.protocol.model.TenantSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import net.openhft.hashing.LongHashFunction;

/**
 * A declaration with its version and digest, updated by deltas. The meta group and every process
 * that follows the configuration keep a copy; equal versions must have equal digests.
 */
public final class DeclarationStore {
  private static final LongHashFunction HASH = LongHashFunction.xx();

  private final Map<String, TenantSpec> tenants = new TreeMap<>();
  private final Map<String, ServiceSpec> services = new TreeMap<>();
  private final Map<String, EngineSpec> engines = new TreeMap<>();
  private long version;
  private long digest;

  /** The version of the last delta. */
  public long version() {
    return version;
  }

  /** An order-independent hash over all resources. */
  public long digest() {
    return digest;
  }

  /** Applies {@code delta} and sets the version. */
  public void apply(DeclarationDelta delta, long newVersion) {
    delta.removedTenants().forEach(name -> remove(tenants, name));
    delta.removedServices().forEach(name -> remove(services, name));
    delta.removedEngines().forEach(name -> remove(engines, name));
    delta.upserts().tenants().forEach(tenant -> put(tenants, tenant.name(), tenant));
    delta.upserts().services().forEach(service -> put(services, service.name(), service));
    delta.upserts().engines().forEach(engine -> put(engines, engine.name(), engine));
    version = newVersion;
  }

  /** Resets to the empty declaration at version 0. */
  public void clear() {
    tenants.clear();
    services.clear();
    engines.clear();
    version = 0;
    digest = 0;
  }

  private <T> void put(Map<String, T> resources, String name, T resource) {
    remove(resources, name);
    resources.put(name, resource);
    digest += hash(resource);
  }

  private <T> void remove(Map<String, T> resources, String name) {
    T previous = resources.remove(name);
    if (previous != null) {
      digest -= hash(previous);
    }
  }

  private static long hash(Object resource) {
    return HASH.hashChars(resource.toString());
  }

  /** The engine with this name, or null. */
  public EngineSpec engine(String name) {
    return engines.get(name);
  }

  /** A copy of the whole declaration. */
  public Declaration declaration() {
    return new Declaration(
        new ArrayList<>(tenants.values()),
        new ArrayList<>(services.values()),
        new ArrayList<>(engines.values()));
  }

  /** The delta that turns this declaration into {@code target}. */
  public DeclarationDelta deltaTo(Declaration target) {
    Declaration upserts =
        new Declaration(
            addedOrChanged(tenants, target.tenants(), TenantSpec::name),
            addedOrChanged(services, target.services(), ServiceSpec::name),
            addedOrChanged(engines, target.engines(), EngineSpec::name));
    return new DeclarationDelta(
        upserts,
        removedNames(tenants, target.tenants(), TenantSpec::name),
        removedNames(services, target.services(), ServiceSpec::name),
        removedNames(engines, target.engines(), EngineSpec::name));
  }

  private static <T> List<T> addedOrChanged(
      Map<String, T> current, List<T> target, Function<T, String> name) {
    List<T> upserts = new ArrayList<>();
    for (T resource : target) {
      if (!resource.equals(current.get(name.apply(resource)))) {
        upserts.add(resource);
      }
    }
    return upserts;
  }

  private static <T> List<String> removedNames(
      Map<String, T> current, List<T> target, Function<T, String> name) {
    List<String> removed = new ArrayList<>(current.keySet());
    target.forEach(resource -> removed.remove(name.apply(resource)));
    return removed;
  }

  /** Describes {@code delta} line by line, for operators. */
  public List<String> describe(DeclarationDelta delta) {
    List<String> lines = new ArrayList<>();
    describeUpserts(lines, "tenant", tenants, delta.upserts().tenants(), TenantSpec::name);
    describeUpserts(lines, "service", services, delta.upserts().services(), ServiceSpec::name);
    describeUpserts(lines, "engine", engines, delta.upserts().engines(), EngineSpec::name);
    delta.removedTenants().forEach(name -> lines.add("tenant/" + name + " removed"));
    delta.removedServices().forEach(name -> lines.add("service/" + name + " removed"));
    delta.removedEngines().forEach(name -> lines.add("engine/" + name + " removed"));
    return lines;
  }

  private static <T> void describeUpserts(
      List<String> lines,
      String kind,
      Map<String, T> current,
      List<T> upserts,
      Function<T, String> name) {
    for (T resource : upserts) {
      boolean exists = current.containsKey(name.apply(resource));
      lines.add(kind + "/" + name.apply(resource) + (exists ? " changed" : " added"));
    }
  }
}
