package io.pathdeck.fleet.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.pathdeck.common.http.EventLoops;
import io.pathdeck.common.settings.SettingsReader;
import io.pathdeck.consensus.storage.DataFolder;
import io.pathdeck.fleet.FleetSettings;
import io.pathdeck.fleet.engine.PlainEngineProtocol;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.fleet.member.GroupClient;
import io.pathdeck.fleet.member.MemberIds;
import io.pathdeck.fleet.member.PeerPool;
import io.pathdeck.fleet.quarantine.EngineCrashReporter;
import io.pathdeck.fleet.traffic.RegionTraffic;
import io.pathdeck.protocol.client.RetryTimer;
import io.pathdeck.protocol.fleet.EvacuatedZones;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.JobsGroupFounders;
import io.pathdeck.protocol.fleet.QuarantineList;
import io.pathdeck.protocol.message.Message;
import io.pathdeck.protocol.message.QueryRequest;
import io.pathdeck.protocol.message.Unavailable;
import io.pathdeck.protocol.query.ReadBatchItem;
import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.Member;
import io.pathdeck.protocol.transport.TransportTls;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against a store that misses a view since its queue was full, and runs no items then. */
class TestViewsUnderLoad {
  private static final int GROUP = 1;
  private static final String LISTEN = "127.0.0.1:7300";
  private static final long PATIENCE_MS = 5_000;
  private static final Message QUERY =
      new QueryRequest(GROUP, new ReadBatchItem("", "job", "item"));

  private final EventLoopGroup eventLoops = EventLoops.create(1);
  private final CountDownLatch consensusMayGoOn = new CountDownLatch(1);
  @TempDir private Path folder;
  private JobsReplica replica;
  private long incarnation;

  @BeforeEach
  void start() {
    EventLoop eventLoop = eventLoops.next();
    FleetSettings settings =
        FleetSettings.read(
            SettingsReader.parse(
                    "test",
                    "name: store\nzone: z\nlisten: "
                        + LISTEN
                        + "\nseeds: []\ntolerated_losses: 0\n",
                    Map.of())
                .value());
    RegionTraffic traffic = new RegionTraffic(settings.zone(), settings.topology());
    PeerPool pool =
        new PeerPool(eventLoops, TransportTls.NONE, settings.peerCompression(), traffic::meterOf);
    GroupClient client = new GroupClient(pool, RetryTimer.on(eventLoops), List::of);
    DataFolder data = DataFolder.open(folder).value();
    incarnation = data.incarnation();
    replica =
        JobsReplica.open(
                GROUP,
                settings,
                data,
                pool,
                eventLoop,
                new PlainEngineProtocol(""),
                new EngineCrashReporter(eventLoop, client, () -> {}),
                traffic,
                () -> true)
            .value();
    replica.start();
  }

  @AfterEach
  void stop() {
    consensusMayGoOn.countDown();
    replica.close();
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private void blockConsensus() {
    replica.handle(QUERY, reply -> awaitUninterruptibly());
  }

  private void awaitUninterruptibly() {
    try {
      consensusMayGoOn.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void fillQueue() {
    AtomicBoolean full = new AtomicBoolean();
    while (!full.get()) {
      replica.handle(QUERY, reply -> full.compareAndSet(false, reply instanceof Unavailable));
    }
  }

  private FleetView viewWithFounders() {
    Member self = new Member(MemberIds.of(LISTEN), incarnation, true, LISTEN);
    GroupConfiguration founders = new GroupConfiguration(List.of(self));
    return new FleetView(
        null,
        null,
        Map.of(),
        List.of(new JobsGroupFounders(GROUP, founders)),
        List.of(),
        FleetProcess.NO_GROUP,
        List.of(),
        QuarantineList.NONE,
        EvacuatedZones.NONE);
  }

  @Test
  void viewThatComesWhileTheQueueIsFullIsApplied() throws Exception {
    blockConsensus();
    fillQueue();
    replica.onChange(viewWithFounders());
    consensusMayGoOn.countDown();
    long endNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(PATIENCE_MS);
    while (replica.report() == null) {
      assertThat(System.nanoTime()).as("the founder leads in time").isLessThan(endNs);
      Thread.sleep(10);
    }
  }
}
