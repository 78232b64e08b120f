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
 * The coordinators that a process may contact: the seeds in its settings and those learned since,
 * as seeds may be gone or unreachable.
 */
public final class CoordinatorContacts {
  private final GroupClient client;
  private volatile List<String> seeds;
  private volatile FleetFollower follower;

  /** Creates the contacts of a process with these settings. */
  public CoordinatorContacts(FleetSettings settings, PeerPool pool, EventLoopGroup eventLoops) {
    this.seeds = settings.seedAddresses();
    CandidateOrder order = CandidateOrder.forProcess(settings.name());
    this.client = new GroupClient(pool, RetryTimer.on(eventLoops), this::addresses, order);
  }

  /** Returns the client of the leading coordinator. */
  public GroupClient client() {
    return client;
  }

  /** Replaces the seeds after a change of the settings. */
  public void setSeeds(List<String> changed) {
    seeds = List.copyOf(changed);
  }

  /** Creates the follower that reports this process to the coordinators. */
  public FleetFollower follower(EventLoop eventLoop, Supplier<FleetFollower.SelfReport> self) {
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
