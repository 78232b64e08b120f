package io.pathdeck.fleet.queue;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class TestRequestQueue {
  private static final int MAX_REQUESTS = 100;
  private static final long MAX_BYTES = 10_000;

  private final RequestQueue<String> queue = new RequestQueue<>(MAX_REQUESTS, MAX_BYTES);

  private static Rank rank(int tenantPriority, int routePriority) {
    return new Rank(false, tenantPriority, routePriority);
  }

  private static WaitingRequest<String> waiting(String name, String tenant, Rank rank, long dueMs) {
    return new WaitingRequest<>(name, tenant, rank, 0, dueMs, 1_000, 10, 1);
  }

  private void add(String name, String tenant, Rank rank, long dueMs) {
    assertThat(queue.add(waiting(name, tenant, rank, dueMs))).isEmpty();
  }

  private List<String> drain(RequestQueue<String> from) {
    List<String> drained = new ArrayList<>();
    while (!from.isEmpty()) {
      String first = from.peek().orElseThrow().request();
      assertThat(from.poll().orElseThrow().request()).isEqualTo(first);
      drained.add(first);
    }
    return drained;
  }

  @Test
  void tenantPriorityPrecedesRoutePriority() {
    add("b", "t", rank(1, 0), 1);
    add("a", "u", rank(0, 5), 9);
    assertThat(drain(queue)).containsExactly("a", "b");
  }

  @Test
  void retriesFirstThenEarliestDue() {
    add("late", "t", rank(0, 0), 9);
    add("early", "t", rank(0, 0), 1);
    add("retry", "t", new Rank(true, 3, 3), 20);
    assertThat(drain(queue)).containsExactly("retry", "early", "late");
  }

  @Test
  void floodDoesNotDelayOtherTenant() {
    for (int i = 0; i < 50; i++) {
      add("flood" + i, "hot", rank(0, 0), 1);
    }
    add("small0", "small", rank(0, 0), 9);
    add("small1", "small", rank(0, 0), 9);
    assertThat(drain(queue).subList(0, 4)).contains("small0", "small1");
  }

  @Test
  void tenantWithLargerRequestsSendsFewer() {
    for (int i = 0; i < 20; i++) {
      queue.add(new WaitingRequest<>("large" + i, "l", rank(0, 0), 0, 1, 1_000, 10, 4));
      queue.add(new WaitingRequest<>("little" + i, "s", rank(0, 0), 0, 1, 1_000, 10, 1));
    }
    long large = drain(queue).subList(0, 20).stream().filter(n -> n.startsWith("la")).count();
    assertThat(large).isBetween(3L, 5L);
  }

  @Test
  void lowRankIsSkippedBoundedTimes() {
    add("low", "t", rank(9, 0), 1);
    for (int i = 0; i < 50; i++) {
      add("high" + i, "u", rank(0, 0), 1);
    }
    assertThat(drain(queue).indexOf("low")).isEqualTo(RequestQueue.MAX_TIMES_SKIPPED);
  }

  @Test
  void evictsNewestOfTenantWithMostWork() {
    add("small", "small", rank(5, 0), 9);
    for (int i = 1; i < MAX_REQUESTS; i++) {
      add("flood" + i, "hot", rank(0, 0), 1);
    }
    List<WaitingRequest<String>> evicted = queue.add(waiting("s2", "small", rank(5, 0), 9));
    assertThat(evicted).extracting(WaitingRequest::request).containsExactly("flood99");
    evicted = queue.add(waiting("new", "hot", rank(0, 0), 0));
    assertThat(evicted).extracting(WaitingRequest::request).containsExactly("new");
    assertThat(queue.size()).isEqualTo(MAX_REQUESTS);
  }

  @Test
  void boundsBytesExceptForSingleRequest() {
    WaitingRequest<String> large =
        new WaitingRequest<>("large", "t", rank(0, 0), 0, 1, 1_000, MAX_BYTES + 1, 9);
    assertThat(queue.add(large)).isEmpty();
    assertThat(queue.add(waiting("next", "u", rank(0, 0), 1)))
        .extracting(WaitingRequest::request)
        .containsExactly("large");
    assertThat(drain(queue)).containsExactly("next");
  }

  @Test
  void removedRequestIsGone() {
    add("a", "t", rank(0, 0), 1);
    assertThat(queue.remove("a")).isTrue();
    assertThat(queue.remove("a")).isFalse();
    assertThat(queue.poll()).isEmpty();
    assertThat(queue.hasExpiredHold(5_000)).isFalse();
  }

  /** Each step adds a request, whose number determines tenant and rank, or takes or removes one. */
  @Property
  void losesAndDuplicatesNoRequest(@ForAll List<@IntRange(min = -40, max = 200) Integer> steps) {
    RequestQueue<String> bounded = new RequestQueue<>(8, 60);
    Set<String> inside = new HashSet<>();
    int number = 0;
    for (int step : steps) {
      if (step >= 0) {
        String name = "r" + number++;
        Rank rank = new Rank(step % 7 == 0, step % 2, step % 3);
        inside.add(name);
        bounded
            .add(new WaitingRequest<>(name, "t" + step % 4, rank, 0, step, step, step, 1 + step))
            .forEach(evicted -> assertThat(inside.remove(evicted.request())).isTrue());
      } else if (step % 2 == 0) {
        bounded.poll().ifPresent(taken -> assertThat(inside.remove(taken.request())).isTrue());
      } else {
        String name = "r" + Math.max(0, number + step / 4);
        assertThat(bounded.remove(name)).isEqualTo(inside.remove(name));
      }
      assertThat(bounded.size()).isEqualTo(inside.size()).isLessThanOrEqualTo(8);
    }
    assertThat(drain(bounded)).containsExactlyInAnyOrderElementsOf(inside);
  }
}
