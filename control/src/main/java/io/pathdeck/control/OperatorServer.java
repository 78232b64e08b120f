package io.pathdeck.control;

import io.grpc.Server;
import io.grpc.netty.NettyServerBuilder;
import io.pathdeck.common.duty.Section;
import io.pathdeck.common.settings.HostPort;
import io.pathdeck.common.settings.TlsSettings;
import io.pathdeck.protocol.client.ControlPlane;
import java.io.IOException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** The gRPC server for operators. */
final class OperatorServer implements AutoCloseable {
  private static final int THREADS = 4;
  private static final int MAX_MESSAGE_LENGTH = 32 * 1024 * 1024;
  private static final long STOP_TIMEOUT_MS = 2_000;

  private final ExecutorService executor = Executors.newFixedThreadPool(THREADS);
  private final Server server;

  OperatorServer(
      HostPort address,
      TlsSettings tls,
      int controllerId,
      int partitions,
      ControlPlane client,
      Section<ControllerStatus> status)
      throws IOException {
    NettyServerBuilder builder =
        NettyServerBuilder.forAddress(address.toSocketAddress())
            .executor(executor)
            .maxInboundMessageSize(MAX_MESSAGE_LENGTH)
            .addService(new OperatorService(controllerId, partitions, client, status));
    if (tls.isEnabled()) {
      builder.useTransportSecurity(tls.certificate().toFile(), tls.key().toFile());
    }
    this.server = builder.build().start();
  }

  @Override
  public void close() {
    server.shutdown();
    try {
      if (!server.awaitTermination(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
        server.shutdownNow();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    executor.shutdownNow();
  }
}
