package io.pathdeck.fleet.origin;

import io.pathdeck.fleet.origin.StreamOriginExchange.Lookup;
import io.pathdeck.fleet.origin.StreamOrigins.Resolution;
import io.pathdeck.protocol.fleet.StreamOriginRecord;
import java.util.Optional;

/**
 * Decides whether a stream without a record at this gateway may go on. Never guesses: with several
 * possible origins only a record tells.
 *
 * @param onlyOrigin the origin if the view of the fleet shows only one possible origin
 * @param viewIsConfirmed whether a leader has confirmed the view so recently that no version is
 *     missing in it
 * @param hasFollowedLong whether this gateway has seen all versions that were listed while the
 *     stream may have begun
 */
record OriginKnowledge(
    Optional<StreamOriginRecord> onlyOrigin, boolean viewIsConfirmed, boolean hasFollowedLong) {

  /** Returns the origin if it is certain without a question to other gateways. */
  Optional<Resolution> withoutAsking() {
    return viewIsConfirmed && hasFollowedLong
        ? onlyOrigin.map(Resolution.Known::new)
        : Optional.empty();
  }

  /** Decides for a stream whose caller does not tell which request began it. */
  Resolution ofUnnamed() {
    return onlyOriginElse(false);
  }

  /**
   * Decides by the answers of other gateways. An answer without a record does not confirm the view:
   * the gateway that sent it may have just started, too.
   */
  Resolution after(Lookup lookup) {
    if (lookup.found().isPresent()) {
      return new Resolution.Known(lookup.found().get());
    }
    return onlyOriginElse(lookup.answered() < lookup.asked());
  }

  private Resolution onlyOriginElse(boolean mayBeFound) {
    if (onlyOrigin.isEmpty()) {
      return new Resolution.Unknown(mayBeFound);
    }
    return viewIsConfirmed ? new Resolution.Known(onlyOrigin.get()) : new Resolution.Unknown(true);
  }
}
