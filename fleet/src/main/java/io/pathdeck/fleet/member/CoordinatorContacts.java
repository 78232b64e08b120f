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
 * The coordinators that a process may ask: the seeds of its settings, and those that it has learnt
 * of since, for seeds may be gone or cut off.
 */
public final class CoordinatorContacts {
  private final GroupClient client;
  private volatile List<String> seeds;
  private volatile FleetFollower follower;

  /** Contacts of a process with these settings. */
  public CoordinatorContacts(FleetSettings settings, PeerPool pool, EventLoopGroup eventLoops) {
    this.seeds = settings.seedAddresses();
    CandidateOrder order = CandidateOrder.forProcess(settings.name());
    this.client = new GroupClient(pool, RetryTimer.on(eventLoops), this::addresses, order);
  }

  /** The way to whichever coordinator leads. */
  public GroupClient client() {
    return client;
  }

  /** Takes over the seeds of changed settings. */
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
    FleetFollower learnt = follower;
    if (learnt != null) {
      learnt.view().withRole(FleetRole.COORDINATOR).stream()
          .map(FleetProcess::peerAddress)
          .filter(address -> !addresses.contains(address))
          .forEach(addresses::add);
    }
    return addresses;
  }
}
