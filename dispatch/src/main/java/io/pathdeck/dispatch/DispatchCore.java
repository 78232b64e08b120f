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
 * Decides on the leasing, placement and preemption of items. Pure: inputs are events and the time,
 * outputs are decisions.
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

  /** Applies a new configuration; engines keep their windows. */
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

  /** Stops leasing and starting items. */
  public void stop() {
    stopping = true;
  }

  /** Returns the number of running items. */
  public int runningItems() {
    return (int) items.values().stream().filter(item -> item.engine != null).count();
  }

  /** Returns all leased items, running or waiting. */
  public Set<ItemKey> heldItems() {
    return items.keySet();
  }

  // ---- backlog and leases

  /** Handles a partition's backlog. */
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

  /** Handles the end of a lease call; {@code leased} is empty if it failed or found no items. */
  public void onLeased(int partition, String service, long leaseId, List<LeasedItem> leased) {
    pendingLeases.remove(new BacklogKey(partition, service));
    for (LeasedItem item : leased) {
      ItemKey key = new ItemKey(partition, leaseId, item.jobId(), item.index());
      Item entry = new Item(key, item, service);
      items.put(key, entry);
      readyQueue(service).addLast(entry);
    }
  }

  private ArrayDeque<Item> readyQueue(String service) {
    return readyQueues.computeIfAbsent(service, key -> new ArrayDeque<>());
  }

  // ---- engines and items

  /** Handles an engine's load report. */
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
   * Preempts the most recently started items, which resume later. Non-repeatable items are not
   * preempted, because a cancelled attempt may still have run to its end.
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

  /** Handles an item's complete response. */
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

  /** Handles the failure of an item's attempt. */
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

  /** Removes items after the loss of their lease or the end of their job. */
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

  /** Removes an item without a result, for a stopping dispatcher. */
  public void discard(ItemKey key) {
    Item item = items.remove(key);
    if (item != null) {
      freeSlot(item);
      readyQueue(item.service).remove(item);
    }
  }

  /** Updates windows, starts items, and requests leases and backlogs. */
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
      // Keeps items in starting order, so the last started is preempted first.
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
      BacklogKey backlogKey = chooseBacklog(service);
      if (backlogKey == null) {
        return;
      }
      Map<String, Integer> waitingByTenant = backlogs.get(backlogKey);
      String tenant = fairQueue.nextTenant(waitingByTenant.keySet());
      int count = Math.min(policy.maxLeasePerCall(), Math.min(wanted, waitingByTenant.get(tenant)));
      reduceBacklog(waitingByTenant, tenant, count);
      pendingLeases.put(backlogKey, true);
      fairQueue.charge(tenant, (double) count * ESTIMATED_ITEM_TOKENS);
      decisions.add(new DispatchDecision.Lease(backlogKey.partition(), service, tenant, count));
      wanted -= count;
    }
  }

  /** Returns the largest backlog of the next tenant without a pending lease call, or null. */
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
