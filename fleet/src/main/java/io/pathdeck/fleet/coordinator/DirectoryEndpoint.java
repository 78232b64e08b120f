package io.pathdeck.fleet.coordinator;

import io.pathdeck.fleet.adapter.DirectoryProtocol;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import io.pathdeck.serving.http.ApiError;
import io.pathdeck.serving.http.HttpExchange;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/** Tells callers which gateways to use: those of their own zone while there are enough of them. */
final class DirectoryEndpoint {
  private static final int MAX_ADDRESSES = 64;
  private static final int MIN_GATEWAYS_IN_ZONE = 2;
  private static final long VALID_SECONDS = 2;

  private final DirectoryProtocol protocol;
  private final Supplier<FleetView> view;
  private final GatewaySelector selector;

  DirectoryEndpoint(DirectoryProtocol protocol, Supplier<FleetView> view, GatewaySelector naming) {
    this.protocol = protocol;
    this.view = view;
    this.selector = naming;
  }

  void handle(HttpExchange exchange) {
    Optional<DirectoryProtocol.Query> question = protocol.read(exchange);
    if (question.isEmpty()) {
      exchange.sendError(ApiError.notFound("not_found", "no such call"));
      return;
    }
    List<String> addresses = selectAddresses(question.get().zone());
    if (addresses.isEmpty()) {
      exchange.sendError(ApiError.unavailable("no_gateway", "no gateway is ready", 1_000));
    } else {
      exchange.sendJson(200, protocol.write(addresses, VALID_SECONDS));
    }
  }

  private List<String> selectAddresses(String zone) {
    List<FleetProcess> near = new ArrayList<>();
    List<FleetProcess> all = new ArrayList<>();
    for (FleetProcess gateway : view.get().withRole(FleetRole.GATEWAY)) {
      if (!gateway.ready()) {
        continue;
      }
      all.add(gateway);
      if (gateway.zone().equals(zone)) {
        near.add(gateway);
      }
    }
    List<String> chosen = new ArrayList<>();
    for (FleetProcess gateway : selector.select(near.size() >= MIN_GATEWAYS_IN_ZONE ? near : all)) {
      chosen.add(gateway.serviceAddress());
    }
    Collections.shuffle(chosen);
    return chosen.size() > MAX_ADDRESSES ? chosen.subList(0, MAX_ADDRESSES) : chosen;
  }
}
