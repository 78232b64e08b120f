package io.pathdeck.dispatch;

import io.pathdeck.protocol.model.EngineSpec;
import io.pathdeck.protocol.model.LeasedItem;
import io.pathdeck.protocol.model.ServiceSpec;
import io.pathdeck.protocol.model.TenantBacklog;
import io.pathdeck.serving.config.ConfigurationView;
import io.pathdeck.serving.engine.AttemptFailure;
import io.pathdeck.serving.engine.EngineLoad;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The dispatcher's decisions: whose items to lease, which engine runs them, and which must yield.
 * Pure: time and events come in, decisions go out.
 */
public final class DispatchCore {
  private static final int ESTIMATED_ITEM_TOKENS = 64;

  private static final class Item {
    final ItemKey key;
    final LeasedItem leased;
    final String service;
    EngineWindow engine;
    int failures;
    long notBeforeMs;

    Item(ItemKey key, LeasedItem leased, String service) {
      this.key = key;
      this.leased = leased;
      this.service = service;
    }
  }

  private record BacklogKey(int partition, String service) {}

  private final DispatchPolicy policy;
  private final TenantFairQueue fairQueue = new TenantFairQueue();
  private final Map<String, EngineWindow> engines = new LinkedHashMap<>();
  private final Map<ItemKey, Item> items = new LinkedHashMap<>();
  private final Map<String, ArrayDeque<Item>> readyQueues = new HashMap<>();
  private final Map<BacklogKey, Map<String, Integer>> backlogs = new TreeMap<>(BACKLOG_ORDER);
  private final Map<BacklogKey, Boolean> pendingLeases = new HashMap<>();
  private ConfigurationView configuration = ConfigurationView.EMPTY;
  private boolean stopping;
  private long nextBacklogMs;

  private static final Comparator<BacklogKey> BACKLOG_ORDER =
      Comparator.comparing(BacklogKey::service).thenComparing(BacklogKey::partition);

  public DispatchCore(DispatchPolicy policy) {
    this.policy = policy;
  }

  /** Takes a new configuration. */
  public void onConfiguration(ConfigurationView view) {
    configuration = view;
    fairQueue.onConfiguration(view);
    Map<String, EngineWindow> previous = new HashMap<>(engines);
    engines.clear();
    for (EngineSpec spec : view.engines()) {
      EngineWindow window = previous.get(spec.name());
      if (window == null) {
        window = new EngineWindow(spec, policy);
      }
      window.spec = spec;
      engines.put(spec.name(), window);
    }
  }

  /** No more items are leased or started. */
  public void stop() {
    stopping = true;
  }

  /** The number of items that run. */
  public int runningItems() {
    return (int) items.values().stream().filter(item -> item.engine != null).count();
  }

  /** The items that are held, running or not. */
  public Set<ItemKey> heldItems() {
    return items.keySet();
  }

  // ---- backlog and leases

  /** A partition told how much work waits. */
  public void onBacklog(int partition, String service, List<TenantBacklog> backlog) {
    Map<String, Integer> counts = new TreeMap<>();
    for (TenantBacklog tenant : backlog) {
      if (tenant.waiting() > 0) {
        counts.put(tenant.tenant(), tenant.waiting());
      }
    }
    backlogs.put(new BacklogKey(partition, service), counts);
    List<String> tenants = new ArrayList<>();
    backlogs.values().forEach(byTenant -> tenants.addAll(byTenant.keySet()));
    items.values().forEach(item -> tenants.add(item.leased.tenant()));
    fairQueue.onBacklogged(Set.copyOf(tenants));
  }

  /** A lease call ended; {@code leased} is empty when nothing waited or the call failed. */
  public void onLeased(int partition, String service, long leaseId, List<LeasedItem> leased) {
    pendingLeases.remove(new BacklogKey(partition, service));
    for (LeasedItem item : leased) {
      ItemKey key = new ItemKey(partition, leaseId, item.jobId(), item.index());
      Item held = new Item(key, item, service);
      items.put(key, held);
      readyQueue(service).addLast(held);
    }
  }

  private ArrayDeque<Item> readyQueue(String service) {
    return readyQueues.computeIfAbsent(service, key -> new ArrayDeque<>());
  }

  // ---- engines and items

  /** An engine reported its load. */
  public List<DispatchDecision> onLoad(String engineName, EngineLoad load, long nowMs) {
    EngineWindow engine = engines.get(engineName);
    List<DispatchDecision> decisions = new ArrayList<>();
    if (engine != null) {
      engine.onLoad(load, nowMs);
      preempt(engine, decisions);
    }
    return decisions;
  }

  /**
   * Stops the items that started last; they continue later where they are. An item that must not
   * run twice keeps its place: what an engine was told to stop may have run on.
   */
  private void preempt(EngineWindow engine, List<DispatchDecision> decisions) {
    int excess = engine.excessItems();
    if (excess == 0) {
      return;
    }
    List<Item> onEngine = new ArrayList<>();
    for (Item item : items.values()) {
      if (item.engine == engine && item.leased.repeatable()) {
        onEngine.add(item);
      }
    }
    for (int i = onEngine.size() - 1; i >= 0 && excess > 0; i--, excess--) {
      Item item = onEngine.get(i);
      freeSlot(item);
      readyQueue(item.service).addFirst(item);
      decisions.add(new DispatchDecision.PreemptItem(item.key));
    }
  }

  private static void freeSlot(Item item) {
    if (item.engine != null) {
      item.engine.runningItems--;
      item.engine = null;
    }
  }

  /** An item's answer is whole. */
  public void onCompleted(ItemKey key, int tokens) {
    Item item = items.remove(key);
    if (item != null) {
      if (item.engine != null) {
        item.engine.onSuccess();
      }
      freeSlot(item);
      fairQueue.charge(item.leased.tenant(), tokens - ESTIMATED_ITEM_TOKENS);
    }
  }

  /** An item's attempt failed. */
  public List<DispatchDecision> onFailed(ItemKey key, AttemptFailure failure, long nowMs) {
    Item item = items.get(key);
    if (item == null || item.engine == null) {
      return List.of();
    }
    EngineWindow engine = item.engine;
    freeSlot(item);
    if (failure instanceof AttemptFailure.Refused refused) {
      engine.closeUntil(nowMs + refused.retryAfterMs());
    } else if (!(failure instanceof AttemptFailure.Invalid)) {
      engine.onFailure(nowMs);
      item.failures++;
    }
    if (failure instanceof AttemptFailure.Invalid) {
      return fail(item, "invalid_request", "the engine found the item invalid");
    }
    if (failure.mayHaveRun() && !item.leased.repeatable()) {
      return fail(item, "outcome_unknown", "the item may have run and is not repeated");
    }
    if (item.failures >= policy.maxItemAttempts()) {
      return fail(item, "engine_failed", "the engines failed repeatedly");
    }
    item.notBeforeMs = nowMs + Math.min(2_000, 50L << Math.min(item.failures, 6));
    readyQueue(item.service).addLast(item);
    return List.of();
  }

  private List<DispatchDecision> fail(Item item, String code, String message) {
    items.remove(item.key);
    return List.of(new DispatchDecision.FailItem(item.key, code, message));
  }

  /** Items that are no longer this dispatcher's: their lease was lost or their job has ended. */
  public List<DispatchDecision> onRevoked(
      int partition, Set<Long> lostLeases, Set<String> endedJobs) {
    List<DispatchDecision> decisions = new ArrayList<>();
    Iterator<Item> iterator = items.values().iterator();
    while (iterator.hasNext()) {
      Item item = iterator.next();
      boolean revoked =
          item.key.partition() == partition
              && (lostLeases.contains(item.key.leaseId()) || endedJobs.contains(item.key.jobId()));
      if (!revoked) {
        continue;
      }
      if (item.engine != null) {
        decisions.add(new DispatchDecision.PreemptItem(item.key));
      }
      freeSlot(item);
      readyQueue(item.service).remove(item);
      iterator.remove();
    }
    return decisions;
  }

  /** Gives up an item without a result, for a dispatcher that stops. */
  public void discard(ItemKey key) {
    Item item = items.remove(key);
    if (item != null) {
      freeSlot(item);
      readyQueue(item.service).remove(item);
    }
  }

  /** Lets windows open, starts items and asks for more. */
  public List<DispatchDecision> poll(long nowMs) {
    List<DispatchDecision> decisions = new ArrayList<>();
    for (EngineWindow engine : engines.values()) {
      engine.poll(nowMs);
      preempt(engine, decisions);
      if (engine.isProbeDue(nowMs)) {
        decisions.add(new DispatchDecision.ProbeLoad(engine.spec));
      }
    }
    if (stopping) {
      return decisions;
    }
    for (ServiceSpec service : configuration.services()) {
      startReady(service.name(), nowMs, decisions);
      leaseItems(service.name(), decisions);
    }
    readBacklogs(nowMs, decisions);
    return decisions;
  }

  private void startReady(String service, long nowMs, List<DispatchDecision> decisions) {
    ArrayDeque<Item> queue = readyQueue(service);
    int candidates = queue.size();
    for (int i = 0; i < candidates; i++) {
      EngineWindow engine = leastBusyEngine(service);
      if (engine == null) {
        return;
      }
      Item item = queue.pollFirst();
      if (item.notBeforeMs > nowMs) {
        queue.addLast(item);
        continue;
      }
      item.engine = engine;
      engine.runningItems++;
      // Items are kept in starting order, so that those that started last yield first.
      items.remove(item.key);
      items.put(item.key, item);
      decisions.add(new DispatchDecision.StartItem(item.key, engine.spec));
    }
  }

  private EngineWindow leastBusyEngine(String service) {
    EngineWindow best = null;
    for (EngineWindow engine : engines.values()) {
      boolean usable = engine.spec.service().equals(service) && engine.freeSlots() > 0;
      if (usable && (best == null || engine.runningItems < best.runningItems)) {
        best = engine;
      }
    }
    return best;
  }

  private void leaseItems(String service, List<DispatchDecision> decisions) {
    int free = 0;
    for (EngineWindow engine : engines.values()) {
      if (engine.spec.service().equals(service)) {
        free += engine.freeSlots();
      }
    }
    if (free == 0) {
      return;
    }
    int wanted = free + policy.lookahead() - readyQueue(service).size();
    while (wanted > 0) {
      BacklogKey source = chooseBacklog(service);
      if (source == null) {
        return;
      }
      Map<String, Integer> counts = backlogs.get(source);
      String tenant = fairQueue.nextTenant(counts.keySet());
      int count = Math.min(policy.maxLeasePerCall(), Math.min(wanted, counts.get(tenant)));
      reduceBacklog(counts, tenant, count);
      pendingLeases.put(source, true);
      fairQueue.charge(tenant, (double) count * ESTIMATED_ITEM_TOKENS);
      decisions.add(new DispatchDecision.Lease(source.partition(), service, tenant, count));
      wanted -= count;
    }
  }

  /** The partition, among those without a lease call under way, that serves the next tenant. */
  private BacklogKey chooseBacklog(String service) {
    Map<String, BacklogKey> bestByTenant = new TreeMap<>();
    for (Map.Entry<BacklogKey, Map<String, Integer>> entry : backlogs.entrySet()) {
      BacklogKey key = entry.getKey();
      if (!key.service().equals(service) || pendingLeases.containsKey(key)) {
        continue;
      }
      for (Map.Entry<String, Integer> count : entry.getValue().entrySet()) {
        BacklogKey best = bestByTenant.get(count.getKey());
        boolean better = best == null || count.getValue() > backlogs.get(best).get(count.getKey());
        if (better) {
          bestByTenant.put(count.getKey(), key);
        }
      }
    }
    String tenant = fairQueue.nextTenant(bestByTenant.keySet());
    return tenant == null ? null : bestByTenant.get(tenant);
  }

  private static void reduceBacklog(Map<String, Integer> counts, String tenant, int count) {
    int left = counts.get(tenant) - count;
    if (left > 0) {
      counts.put(tenant, left);
    } else {
      counts.remove(tenant);
    }
  }

  private void readBacklogs(long nowMs, List<DispatchDecision> decisions) {
    if (nowMs < nextBacklogMs) {
      return;
    }
    nextBacklogMs = nowMs + policy.backlogIntervalMs();
    for (ServiceSpec service : configuration.services()) {
      for (int partition = 1; partition <= configuration.partitions(); partition++) {
        decisions.add(new DispatchDecision.ReadBacklog(partition, service.name()));
      }
    }
  }
}
