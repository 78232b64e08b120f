package io.pathdeck.protocol.snapshot;

import io.pathdeck.protocol.fleet.ItemCrashes;
import java.util.ArrayList;
import java.util.List;

/** The open items under which engines have crashed in a row. */
public record ItemCrashesRecord(List<ItemCrashes> items) {
  public ItemCrashesRecord {
    items = new ArrayList<>(items);
  }
}
