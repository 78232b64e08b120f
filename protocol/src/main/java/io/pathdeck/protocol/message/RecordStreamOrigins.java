package io.pathdeck.protocol.message;

import io.pathdeck.protocol.fleet.StreamOriginRecord;
import java.util.ArrayList;
import java.util.List;

/** A gateway tells another one where streams began; there is no answer. */
public record RecordStreamOrigins(List<StreamOriginRecord> records) implements Message {
  public RecordStreamOrigins {
    records = new ArrayList<>(records);
  }
}
