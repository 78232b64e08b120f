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
    return onlyOriginIf(viewIsConfirmed, false);
  }

  /** Decides by the answers of other gateways; a fleet of one gateway has none to ask. */
  Resolution after(Lookup lookup) {
    if (lookup.found().isPresent()) {
      return new Resolution.Known(lookup.found().get());
    }
    boolean isViewReliable = viewIsConfirmed || lookup.answered() > 0 || lookup.asked() == 0;
    return onlyOriginIf(isViewReliable, lookup.answered() < lookup.asked());
  }

  private Resolution onlyOriginIf(boolean isViewReliable, boolean mayBeFound) {
    return onlyOrigin
        .filter(origin -> isViewReliable)
        .<Resolution>map(Resolution.Known::new)
        .orElseGet(() -> new Resolution.Unknown(mayBeFound));
  }
}
