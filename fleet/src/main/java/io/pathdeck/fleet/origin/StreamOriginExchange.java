package io.pathdeck.fleet.origin;

import io.netty.channel.EventLoop;
import io.pathdeck.common.result.Result;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.fleet.member.PeerPool;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import io.pathdeck.protocol.fleet.StreamOriginRecord;
import io.pathdeck.protocol.message.FindStreamOrigin;
import io.pathdeck.protocol.message.Message;
import io.pathdeck.protocol.message.RecordStreamOrigins;
import io.pathdeck.protocol.message.StreamOriginReply;
import io.pathdeck.protocol.message.Unavailable;
import io.pathdeck.protocol.transport.MessageHandler.ReplySink;
import io.pathdeck.protocol.transport.PeerClient;
import io.pathdeck.protocol.transport.TransportError;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Keeps origins of streams for other gateways, tells them this gateway's and asks them; confined to
 * the event loop.
 *
 * <p>Each origin is told to {@value #KEEPERS} gateways, so that it outlives this one. More are
 * asked than are told: while gateways come and go, their views of the fleet differ.
 */
public final class StreamOriginExchange {
  static final int KEEPERS = 3;
  static final int MAX_ASKED = 8;

  /** Several round trips between zones; callers that return wait for it only if nobody knows. */
  static final long LOOKUP_TIMEOUT_MS = 250;

  private static final int MAX_RECORDS_PER_MESSAGE = 500;

  /**
   * The result of a lookup.
   *
   * @param found the origin; empty if no gateway that answered knows the stream
   * @param asked the number of gateways that were asked
   * @param answered the number of gateways that answered
   */
  record Lookup(Optional<StreamOriginRecord> found, int asked, int answered) {}

  private final EventLoop eventLoop;
  private final PeerPool pool;
  private final String selfName;
  private final StreamOriginTable table;
  private KeeperRanking peers = new KeeperRanking(List.of());
  private KeeperRanking readyPeers = peers;

  StreamOriginExchange(
      EventLoop eventLoop, PeerPool pool, String selfName, StreamOriginTable table) {
    this.eventLoop = eventLoop;
    this.pool = pool;
    this.selfName = selfName;
    this.table = table;
  }

  private static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Applies the other gateways of a new view. */
  void onChange(FleetView view) {
    List<FleetProcess> others =
        view.withRole(FleetRole.GATEWAY).stream()
            .filter(gateway -> !gateway.name().equals(selfName))
            .filter(gateway -> !gateway.peerAddress().isEmpty())
            .toList();
    peers = new KeeperRanking(others);
    readyPeers = new KeeperRanking(others.stream().filter(FleetProcess::ready).toList());
  }

  /** Handles a message of another gateway; thread-safe. */
  public void onMessage(Message message, ReplySink replySink) {
    if (message instanceof RecordStreamOrigins told) {
      eventLoop.execute(() -> told.records().forEach(each -> table.put(each, nowMs())));
    } else if (message instanceof FindStreamOrigin find) {
      eventLoop.execute(
          () ->
              replySink.reply(
                  new StreamOriginReply(table.find(find.stream(), nowMs()).orElse(null))));
    } else {
      replySink.reply(new Unavailable("not a message of gateways", false));
    }
  }

  /** Tells the keepers where streams began. */
  void tell(List<StreamOriginRecord> records) {
    Map<String, List<StreamOriginRecord>> byAddress = new HashMap<>();
    for (StreamOriginRecord each : records) {
      for (FleetProcess keeper : readyPeers.first(each.stream(), KEEPERS)) {
        byAddress.computeIfAbsent(keeper.peerAddress(), address -> new ArrayList<>()).add(each);
      }
    }
    byAddress.forEach(this::send);
  }

  private void send(String address, List<StreamOriginRecord> records) {
    Optional<PeerClient> keeper = pool.client(address);
    for (int from = 0; from < records.size(); from += MAX_RECORDS_PER_MESSAGE) {
      int to = Math.min(records.size(), from + MAX_RECORDS_PER_MESSAGE);
      RecordStreamOrigins message = new RecordStreamOrigins(records.subList(from, to));
      keeper.ifPresent(client -> client.send(message));
    }
  }

  /** Asks the probable keepers of a stream; {@code callback} runs once, on the event loop. */
  void find(long stream, Consumer<Lookup> callback) {
    List<PeerClient> keepers = new ArrayList<>();
    for (FleetProcess peer : peers.first(stream, MAX_ASKED)) {
      pool.client(peer.peerAddress()).ifPresent(keepers::add);
    }
    PendingLookup lookup = new PendingLookup(keepers.size(), callback);
    if (keepers.isEmpty()) {
      lookup.finish(Optional.empty());
      return;
    }
    eventLoop.schedule(
        () -> lookup.finish(Optional.empty()), LOOKUP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    for (PeerClient keeper : keepers) {
      keeper
          .request(new FindStreamOrigin(stream), LOOKUP_TIMEOUT_MS)
          .thenAcceptAsync(lookup::onReply, eventLoop);
    }
  }

  /** Collects the answers to one lookup. */
  static final class PendingLookup {
    private final int asked;
    private final Consumer<Lookup> callback;
    private int ended;
    private int answered;
    private boolean finished;

    PendingLookup(int asked, Consumer<Lookup> callback) {
      this.asked = asked;
      this.callback = callback;
    }

    void onReply(Result<Message, TransportError> result) {
      ended++;
      if (result.isOk() && result.value() instanceof StreamOriginReply reply) {
        answered++;
        if (reply.record() != null && reply.record().hasBegun()) {
          finish(Optional.of(reply.record()));
        }
      }
      if (ended == asked) {
        finish(Optional.empty());
      }
    }

    void finish(Optional<StreamOriginRecord> found) {
      if (!finished) {
        finished = true;
        callback.accept(new Lookup(found, asked, answered));
      }
    }
  }
}
