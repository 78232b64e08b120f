package io.pathdeck.fleet.member;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.pathdeck.fleet.FleetSettings;
import io.pathdeck.protocol.client.RetryTimer;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * The coordinators that a process may contact: the seeds in its settings and, as these may be gone
 * or unreachable, the coordinators in its view of the fleet.
 */
public final class CoordinatorContacts {
  private final GroupClient client;
  private volatile List<String> seeds;
  private volatile FleetFollower follower;

  /** Creates contacts that know the seeds only. */
  public CoordinatorContacts(FleetSettings settings, PeerPool pool, EventLoopGroup eventLoops) {
    this.seeds = settings.seedAddresses();
    CandidateOrder order = CandidateOrder.forProcess(settings.name());
    this.client = new GroupClient(pool, RetryTimer.on(eventLoops), this::addresses, order);
  }

  /** Returns the client of the leading coordinator. */
  public GroupClient client() {
    return client;
  }

  public void setSeeds(List<String> newSeeds) {
    seeds = List.copyOf(newSeeds);
  }

  /** Creates the follower whose view provides further coordinators; call once. */
  public FleetFollower createFollower(
      EventLoop eventLoop, Supplier<FleetFollower.SelfReport> self) {
    follower = new FleetFollower(eventLoop, client, self);
    return follower;
  }

  private List<String> addresses() {
    List<String> addresses = new ArrayList<>(seeds);
    FleetFollower currentFollower = follower;
    if (currentFollower != null) {
      currentFollower.view().withRole(FleetRole.COORDINATOR).stream()
          .map(FleetProcess::peerAddress)
          .filter(address -> !addresses.contains(address))
          .forEach(addresses::add);
    }
    return addresses;
  }
}
