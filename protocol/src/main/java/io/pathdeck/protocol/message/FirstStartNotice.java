package io.pathdeck.protocol.message;

import java.util.ArrayList;
import java.util.List;

/**
 * A process that took part in the first start of the system tells a coordinator that none has led
 * since, as far as its disk shows.
 *
 * @param seedAddresses the coordinators that were to found their group at the first start
 */
public record FirstStartNotice(List<String> seedAddresses) implements Message {
  public FirstStartNotice {
    seedAddresses = new ArrayList<>(seedAddresses);
  }
}
