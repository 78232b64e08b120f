package io.pathdeck.fleet.coordinator;

import io.pathdeck.fleet.adapter.DirectoryProtocol;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.serving.http.ApiError;
import io.pathdeck.serving.http.HttpExchange;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/** Lists ready gateways for callers. */
final class DirectoryEndpoint {
  private static final int MAX_ADDRESSES = 64;
  private static final long ADDRESSES_VALID_SECONDS = 2;

  private final DirectoryProtocol protocol;
  private final Supplier<FleetView> view;
  private final GatewayLocator locator;

  DirectoryEndpoint(DirectoryProtocol protocol, Supplier<FleetView> view, GatewayLocator locator) {
    this.protocol = protocol;
    this.view = view;
    this.locator = locator;
  }

  void handle(HttpExchange exchange) {
    Optional<DirectoryProtocol.Query> query = protocol.read(exchange);
    if (query.isEmpty()) {
      exchange.sendError(ApiError.notFound("not_found", "no such call"));
      return;
    }
    List<String> addresses = selectAddresses(query.get());
    if (addresses.isEmpty()) {
      exchange.sendError(ApiError.unavailable("no_gateway", "no gateway is ready", 1_000));
    } else {
      exchange.sendJson(200, protocol.write(addresses, ADDRESSES_VALID_SECONDS));
    }
  }

  private List<String> selectAddresses(DirectoryProtocol.Query query) {
    List<String> addresses = new ArrayList<>();
    for (FleetProcess gateway : locator.locate(view.get(), query)) {
      addresses.add(gateway.serviceAddress());
    }
    Collections.shuffle(addresses);
    return addresses.size() > MAX_ADDRESSES ? addresses.subList(0, MAX_ADDRESSES) : addresses;
  }
}
