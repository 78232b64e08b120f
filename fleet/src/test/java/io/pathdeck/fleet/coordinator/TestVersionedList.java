package io.pathdeck.fleet.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class TestVersionedList {

  @Property
  void deltasReproduceTheList(@ForAll List<@IntRange(min = -5, max = 5) Integer> changes) {
    VersionedList<Integer> list = new VersionedList<>();
    Set<String> expected = new HashSet<>();
    Set<String> readerKeys = new HashSet<>();
    long sequence = 0;
    boolean hasList = false;
    for (int change : changes) {
      String key = "k" + Math.abs(change);
      if (change >= 0) {
        list.put(key, Math.abs(change));
        expected.add(key);
      } else {
        list.remove(key);
        expected.remove(key);
      }
      if (change % 2 == 0) {
        VersionedList.Delta<Integer> delta = list.since(sequence, hasList);
        if (delta.full()) {
          readerKeys.clear();
        }
        delta.changed().forEach(value -> readerKeys.add("k" + value));
        delta.removed().forEach(readerKeys::remove);
        sequence = delta.sequence();
        hasList = true;
        assertThat(readerKeys).isEqualTo(expected);
      }
    }
  }

  @Test
  void equalEntryIsNotAChange() {
    VersionedList<String> list = new VersionedList<>();
    assertThat(list.put("a", "x")).isTrue();
    assertThat(list.put("a", "x")).isFalse();
    assertThat(list.since(1, true).changed()).isEmpty();
  }

  @Test
  void readerOfAnotherListGetsEverything() {
    VersionedList<String> list = new VersionedList<>();
    list.put("a", "x");
    assertThat(list.since(1, false).full()).isTrue();
    assertThat(list.since(7, true).full()).isTrue();
  }
}
