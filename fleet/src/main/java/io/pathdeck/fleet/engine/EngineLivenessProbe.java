package io.pathdeck.fleet.engine;

import io.netty.channel.EventLoop;
import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.fleet.adapter.EngineProtocol;
import io.pathdeck.fleet.adapter.EngineResponse;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Determines whether an engine is down or only a connection to it was lost; confined to the event
 * loop.
 *
 * <p>Resets, corrupt responses and network partitions also break connections to running engines, so
 * the probe requests the engine's load on another connection. The engine is down if its address
 * refuses connections and no other connection to it is open, if another engine responds there, or
 * if it reports a different start time. A timeout proves nothing.
 */
public final class EngineLivenessProbe {
  /** The result of a probe. */
  public enum Verdict {
    ENDED,
    ALIVE,
    UNKNOWN
  }

  private static final int OK = 200;

  /** Several round trips; a running engine responds within a few milliseconds. */
  private static final long TIMEOUT_MS = 500;

  /** A kept connection may have closed with its engine and fail only when it is used. */
  private static final int MAX_ATTEMPTS = 3;

  private final EventLoop eventLoop;
  private final NettyEngineTransport transport;
  private final EngineProtocol protocol;
  private final Map<String, List<Consumer<Verdict>>> pendingReceivers = new HashMap<>();

  /** Creates a probe that calls engines over {@code transport}. */
  public EngineLivenessProbe(
      EventLoop eventLoop, NettyEngineTransport transport, EngineProtocol protocol) {
    this.eventLoop = eventLoop;
    this.transport = transport;
    this.protocol = protocol;
  }

  /**
   * Reports to {@code receiver} whether an engine instance is down; concurrent checks of an
   * instance share one probe.
   */
  public void check(EngineInstance engine, Consumer<Verdict> receiver) {
    List<Consumer<Verdict>> receivers = pendingReceivers.get(engine.lifeId());
    if (receivers != null) {
      receivers.add(receiver);
      return;
    }
    receivers = new ArrayList<>();
    receivers.add(receiver);
    pendingReceivers.put(engine.lifeId(), receivers);
    // Deferred until the closing of all connections to the engine has been processed.
    eventLoop.execute(() -> new Probe(engine).send());
  }

  /**
   * Whether an engine that just refused a connection is down. An engine at its connection limit
   * refuses connections too, but then some are open.
   */
  public boolean isDown(EngineInstance engine) {
    return transport.openConnections(engine) == 0;
  }

  private void notifyReceivers(EngineInstance engine, Verdict verdict) {
    List<Consumer<Verdict>> receivers = pendingReceivers.remove(engine.lifeId());
    if (receivers != null) {
      receivers.forEach(receiver -> receiver.accept(verdict));
    }
  }

  /** Requests the load of one engine; retries when the connection is lost. */
  private final class Probe implements EngineListener {
    private final EngineInstance engine;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private EngineResponse response;
    private EngineTransport.Handle handle;
    private int attempts;
    private boolean decided;

    Probe(EngineInstance engine) {
      this.engine = engine;
    }

    void send() {
      attempts++;
      body.reset();
      handle = transport.start(EngineLoadClient.reportCall(protocol, engine), this);
      if (attempts == 1) {
        eventLoop.schedule(this::onTimeout, TIMEOUT_MS, TimeUnit.MILLISECONDS);
      }
    }

    private void onTimeout() {
      if (!decided) {
        handle.cancel();
        finish(Verdict.UNKNOWN);
      }
    }

    private void finish(Verdict verdict) {
      if (!decided) {
        decided = true;
        notifyReceivers(engine, verdict);
      }
    }

    @Override
    public void onHead(EngineResponse head) {
      response = head;
    }

    @Override
    public void onBody(byte[] part) {
      body.writeBytes(part);
    }

    @Override
    public void onEnd() {
      if (response.wrongInstance()) {
        finish(Verdict.ENDED);
      } else if (response.status() == OK) {
        Optional<EngineLoadReport> report = protocol.readReport(body.toByteArray());
        boolean restarted = report.isPresent() && engine.isOtherLife(report.get().bornMs());
        finish(restarted ? Verdict.ENDED : Verdict.ALIVE);
      } else {
        finish(Verdict.ALIVE);
      }
    }

    @Override
    public void onFailure(EngineFailure failure, String reason) {
      if (failure == EngineFailure.CONNECTION_REFUSED) {
        finish(isDown(engine) ? Verdict.ENDED : Verdict.ALIVE);
      } else if (failure.isLostConnection() && attempts < MAX_ATTEMPTS && !decided) {
        send();
      } else {
        finish(Verdict.UNKNOWN);
      }
    }
  }
}
