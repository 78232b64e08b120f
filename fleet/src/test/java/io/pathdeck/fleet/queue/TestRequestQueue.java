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

  private static WaitingRequest<String> waitingRequest(
      String name, String tenant, Rank rank, long dueMs) {
    return new WaitingRequest<>(name, tenant, rank, 0, dueMs, 1_000, 10, 1);
  }

  private void add(String name, String tenant, Rank rank, long dueMs) {
    assertThat(queue.add(waitingRequest(name, tenant, rank, dueMs))).isEmpty();
  }

  private List<String> drain(RequestQueue<String> source) {
    List<String> drained = new ArrayList<>();
    while (!source.isEmpty()) {
      String first = source.peek().orElseThrow().request();
      assertThat(source.poll().orElseThrow().request()).isEqualTo(first);
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
    long large = drain(queue).subList(0, 20).stream().filter(name -> name.startsWith("la")).count();
    assertThat(large).isBetween(3L, 5L);
  }

  @Test
  void leastUrgentRankIsSkippedBoundedTimes() {
    add("least urgent", "t", rank(9, 0), 1);
    for (int i = 0; i < 50; i++) {
      add("urgent" + i, "u", rank(0, 0), 1);
    }
    assertThat(drain(queue).indexOf("least urgent")).isEqualTo(RequestQueue.MAX_TIMES_SKIPPED);
  }

  @Test
  void evictsNewestOfTenantWithMostWork() {
    add("small", "small", rank(5, 0), 9);
    for (int i = 1; i < MAX_REQUESTS; i++) {
      add("flood" + i, "hot", rank(0, 0), 1);
    }
    List<WaitingRequest<String>> evicted = queue.add(waitingRequest("s2", "small", rank(5, 0), 9));
    assertThat(evicted).extracting(WaitingRequest::request).containsExactly("flood99");
    evicted = queue.add(waitingRequest("new", "hot", rank(0, 0), 0));
    assertThat(evicted).extracting(WaitingRequest::request).containsExactly("new");
    assertThat(queue.size()).isEqualTo(MAX_REQUESTS);
  }

  @Test
  void boundsBytesExceptForSingleRequest() {
    WaitingRequest<String> large =
        new WaitingRequest<>("large", "t", rank(0, 0), 0, 1, 1_000, MAX_BYTES + 1, 9);
    assertThat(queue.add(large)).isEmpty();
    assertThat(queue.add(waitingRequest("next", "u", rank(0, 0), 1)))
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

  /**
   * Steps from 0 add a request, with tenant and rank derived from the step; even negative steps
   * poll a request, odd ones remove one.
   */
  @Property
  void losesAndDuplicatesNoRequest(@ForAll List<@IntRange(min = -40, max = 200) Integer> steps) {
    RequestQueue<String> smallQueue = new RequestQueue<>(8, 60);
    Set<String> expected = new HashSet<>();
    int number = 0;
    for (int step : steps) {
      if (step >= 0) {
        String name = "r" + number++;
        Rank rank = new Rank(step % 7 == 0, step % 2, step % 3);
        expected.add(name);
        smallQueue
            .add(new WaitingRequest<>(name, "t" + step % 4, rank, 0, step, step, step, 1 + step))
            .forEach(evicted -> assertThat(expected.remove(evicted.request())).isTrue());
      } else if (step % 2 == 0) {
        smallQueue.poll().ifPresent(taken -> assertThat(expected.remove(taken.request())).isTrue());
      } else {
        String name = "r" + Math.max(0, number + step / 4);
        assertThat(smallQueue.remove(name)).isEqualTo(expected.remove(name));
      }
      assertThat(smallQueue.size()).isEqualTo(expected.size()).isLessThanOrEqualTo(8);
    }
    assertThat(drain(smallQueue)).containsExactlyInAnyOrderElementsOf(expected);
  }
}
