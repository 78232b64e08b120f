package io.pathdeck.fleet.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.serving.http.ConnectionMemory;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Callers' data must stay within the memory limit, and a flooding tenant must not evict others. */
class TestMemoryBudget {
  private static final long MAX_BYTES = 1_000;

  private final MemoryMetrics metrics = new MemoryMetrics();
  private final MemoryBudget budget = new MemoryBudget(MAX_BYTES, metrics);
  private final List<String> evicted = new ArrayList<>();

  private ConnectionMemory request(String name, String tenant, boolean notSent) {
    ConnectionMemory memory = budget.open();
    memory.setOwner(
        tenant,
        () -> {
          evicted.add(name);
          return notSent;
        });
    return memory;
  }

  private ConnectionMemory requestWithBody(String name, String tenant, long bytes) {
    ConnectionMemory memory = request(name, tenant, true);
    assertThat(memory.tryReserveBody(bytes)).isTrue();
    return memory;
  }

  @Test
  void keepsEverythingUpToLimit() {
    requestWithBody("a", "t", 600);
    requestWithBody("b", "u", 400);
    assertThat(evicted).isEmpty();
    assertThat(budget.heldBytes()).isEqualTo(MAX_BYTES);
  }

  @Test
  void evictsLargestRequestOfLargestTenant() {
    requestWithBody("small", "flood", 200);
    requestWithBody("large", "flood", 350);
    requestWithBody("largest of all", "quiet", 400);
    requestWithBody("new", "quiet", 100);
    assertThat(evicted).containsExactly("large");
    assertThat(budget.heldBytes("quiet")).isEqualTo(500);
    assertThat(budget.heldBytes()).isEqualTo(700);
  }

  @Test
  void floodingTenantEvictsOnlyItself() {
    requestWithBody("quiet", "quiet", 100);
    for (int i = 0; i < 500; i++) {
      request("flood", "flood", true).tryReserveBody(90);
    }
    assertThat(evicted).doesNotContain("quiet");
    assertThat(budget.heldBytes()).isBetween(MAX_BYTES - 100, MAX_BYTES);
    assertThat(metrics.rejected()).isEqualTo(490);
    assertThat(metrics.aborted()).isZero();
  }

  @Test
  void refusesRequesterThatWouldBeEvicted() {
    requestWithBody("a", "t", 300);
    ConnectionMemory large = request("large", "u", true);
    assertThat(large.tryReserveBody(800)).isFalse();
    assertThat(evicted).isEmpty();
    assertThat(budget.heldBytes()).isEqualTo(300);
    assertThat(metrics.rejected()).isEqualTo(1);
  }

  @Test
  void startedRequestCountsAsAborted() {
    ConnectionMemory stream = request("stream", "t", false);
    assertThat(stream.tryReserveResponse(900)).isTrue();
    requestWithBody("a", "u", 200);
    assertThat(evicted).containsExactly("stream");
    assertThat(metrics.aborted()).isEqualTo(1);
    assertThat(metrics.rejected()).isZero();
  }

  @Test
  void unevictableRequestStaysCounted() {
    ConnectionMemory job = requestWithBody("job", "t", 900);
    job.disableEviction();
    assertThat(request("new", "u", true).tryReserveBody(200)).isFalse();
    assertThat(job.tryReserveResponse(200)).isFalse();
    assertThat(evicted).isEmpty();
    assertThat(budget.heldBytes()).isEqualTo(900);
  }

  @Test
  void evictedBytesAreReleasedOnce() {
    ConnectionMemory stream = request("stream", "t", false);
    stream.tryReserveResponse(900);
    requestWithBody("a", "u", 200);
    stream.releaseResponse(900);
    assertThat(budget.heldBytes()).isEqualTo(200);
  }

  @Test
  void connectionIsReusableAfterEviction() {
    ConnectionMemory memory = requestWithBody("first", "t", 900);
    requestWithBody("other", "u", 200);
    assertThat(memory.tryReserveResponse(1)).as("before its release").isFalse();
    memory.releaseAll();
    assertThat(memory.tryReserveBody(100)).isTrue();
    assertThat(budget.heldBytes()).isEqualTo(300);
    assertThat(budget.heldBytes("")).as("tenant not yet set").isEqualTo(100);
  }

  @Test
  void ownerMayReleaseOthersDuringEviction() {
    ConnectionMemory second = requestWithBody("second", "t", 300);
    ConnectionMemory first = budget.open();
    first.setOwner(
        "t",
        () -> {
          second.releaseAll();
          return true;
        });
    first.tryReserveBody(500);
    requestWithBody("new", "u", 300);
    assertThat(budget.heldBytes()).isEqualTo(300);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void limitHoldsUnderRandomOperations(long seed) {
    Random random = new Random(seed);
    List<ConnectionMemory> requests = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      requests.add(request("r" + i, "t" + i % 7, i % 2 == 0));
    }
    for (int step = 0; step < 20_000; step++) {
      int chosen = random.nextInt(requests.size());
      act(requests.get(chosen), random, chosen);
      assertThat(budget.heldBytes()).isBetween(0L, MAX_BYTES);
    }
    requests.forEach(ConnectionMemory::releaseAll);
    assertThat(budget.heldBytes()).isZero();
    assertThat(metrics.rejected() + metrics.aborted()).isPositive();
  }

  private static void act(ConnectionMemory memory, Random random, int chosen) {
    switch (random.nextInt(4)) {
      case 0 -> memory.tryReserveBody(random.nextInt(300));
      case 1 -> memory.tryReserveResponse(random.nextInt(300));
      case 2 -> memory.releaseResponse(random.nextInt(300));
      default -> {
        memory.releaseAll();
        memory.setOwner("t" + chosen % 7, () -> chosen % 2 == 0);
      }
    }
  }
}
