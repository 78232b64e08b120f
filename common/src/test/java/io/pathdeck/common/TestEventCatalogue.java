package io.pathdeck.common;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.common.events.EventCode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** docs/EVENTS.md lists every event with its number and name, and no other. */
class TestEventCatalogue {
  @Test
  void everyEventIsDocumented() throws IOException {
    String catalogue = Files.readString(Path.of("..", "docs", "EVENTS.md"));
    for (EventCode code : EventCode.values()) {
      assertThat(catalogue).contains("| " + code.id() + " | " + code.label() + " |");
    }
    long documented = catalogue.lines().filter(line -> line.startsWith("| PD-")).count();
    assertThat(documented).isEqualTo(EventCode.values().length);
  }
}
