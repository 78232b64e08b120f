package io.pathdeck.control;

import java.util.Map;

/** The ways to the other members of this process's groups. */
public interface PeerLinks {
  /** The way to a member; null when its address is not known. */
  PeerLink to(int memberId);

  /** Notes where a member is reached; the newest address counts. */
  void learn(int memberId, String address);

  /** Ways that the settings name and that never change. */
  static PeerLinks fixed(Map<Integer, PeerLink> links) {
    return new PeerLinks() {
      @Override
      public PeerLink to(int memberId) {
        return links.get(memberId);
      }

      @Override
      public void learn(int memberId, String address) {
        // Addresses are settings here.
      }
    };
  }
}
