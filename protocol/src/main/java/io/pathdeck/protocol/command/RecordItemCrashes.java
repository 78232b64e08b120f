package io.pathdeck.protocol.command;

import io.pathdeck.protocol.fleet.ItemCrashes;
import java.util.ArrayList;
import java.util.List;

/** Records under which items engines have crashed, so that a new leader delays them as long. */
public record RecordItemCrashes(List<ItemCrashes> items) implements BatchCommand {
  public RecordItemCrashes {
    items = new ArrayList<>(items);
  }
}
