package io.pathdeck.fleet.engine;

import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.pathdeck.fleet.adapter.EngineCall;
import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.fleet.adapter.EngineProtocol;
import io.pathdeck.fleet.adapter.EngineResponse;
import io.pathdeck.fleet.adapter.EngineTenant;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.io.ByteArrayOutputStream;

/** Requests load reports from engines; confined to the event loop. */
public final class EngineLoadClient {
  private static final int OK = 200;
  private static final long DEADLINE_MS = 500;

  private final EngineTransport transport;
  private final EngineProtocol protocol;
  private final ReportListener listener;

  /** Receives the reports. */
  public interface ReportListener {
    /**
     * Handles the report of an engine.
     *
     * @param coldLeftMs how much longer the engine is cold; {@link EngineResponse#COLD_UNKNOWN} if
     *     it does not tell
     */
    void onReport(String engineId, EngineLoadReport report, long coldLeftMs);
  }

  /** Creates a client that passes each report to {@code listener}. */
  public EngineLoadClient(
      EngineTransport transport, EngineProtocol protocol, ReportListener listener) {
    this.transport = transport;
    this.protocol = protocol;
    this.listener = listener;
  }

  /** Requests the load of one engine; the listener is not called if the request fails. */
  public void fetch(EngineInstance engine) {
    transport.start(reportCall(protocol, engine), new ReportReader(engine.id()));
  }

  /** Creates the call that requests an engine's load. */
  static EngineCall reportCall(EngineProtocol protocol, EngineInstance engine) {
    return new EngineCall(
        engine,
        HttpMethod.GET,
        protocol.reportPath(),
        engine.address(),
        EngineCall.NO_REQUEST_ID,
        new EngineTenant.PassThrough(),
        EmptyHttpHeaders.INSTANCE,
        new byte[0],
        DEADLINE_MS,
        -1);
  }

  private final class ReportReader implements EngineListener {
    private final String engineId;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private EngineResponse head;

    ReportReader(String engineId) {
      this.engineId = engineId;
    }

    @Override
    public void onHead(EngineResponse response) {
      head = response;
    }

    @Override
    public void onBody(byte[] part) {
      body.writeBytes(part);
    }

    @Override
    public void onEnd() {
      if (head.status() == OK) {
        protocol
            .readReport(body.toByteArray())
            .ifPresent(report -> listener.onReport(engineId, report, head.coldLeftMs()));
      }
    }

    /** A report that was cut off cannot be parsed. */
    @Override
    public void onClose() {
      onEnd();
    }

    @Override
    public void onFailure(EngineFailure failure, String reason) {
      // The previous report stays in use.
    }
  }
}
