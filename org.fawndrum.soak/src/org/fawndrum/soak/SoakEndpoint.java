// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.net.NetClient;
import org.fawndrum.platform.standin.EndpointStandin;
import org.fawndrum.state.HostAddress;

/**
 * An endpoint behind a proxy, with the faults that it may have. What it runs is written into the
 * ledger. Confined to one event loop.
 */
final class SoakEndpoint implements EndpointStandin.Behaviour {
  private static final String ZONE = "zone-a";

  private final Vertx vertx;
  private final NetClient client;
  private final Ledger ledger;
  private final String id;
  private final String service;
  private final EndpointStandin standin;
  private FaultProxy link;
  private HostAddress at;
  private HostAddress linkAt;
  private boolean losesAnswers;
  private boolean sheds;

  /**
   * Makes an endpoint that does not listen yet.
   *
   * @param client opens the connections of its proxy
   * @param id its name, and the key of its record in the store
   * @param service the service that it belongs to
   * @param events how many events it streams; 0 for plain answers
   */
  SoakEndpoint(
      Vertx vertx, NetClient client, Ledger ledger, String id, String service, int events) {
    this.vertx = vertx;
    this.client = client;
    this.ledger = ledger;
    this.id = id;
    this.service = service;
    this.standin = new EndpointStandin(vertx, id, events, this);
  }

  /** Listens, with its proxy. */
  Future<Void> listen() {
    return standin.listen().compose(this::listenBefore);
  }

  private Future<Void> listenBefore(HostAddress address) {
    at = address;
    link = new FaultProxy(vertx, client, address);
    return link.listen()
        .map(
            proxyAddress -> {
              linkAt = proxyAddress;
              return null;
            });
  }

  String id() {
    return id;
  }

  /** Returns its record in the store, which names the address of its proxy. */
  String entry(String state) {
    return standin.entry(service, ZONE, state).replace(at.toString(), linkAt.toString());
  }

  /** Chooses what happens to the bytes of its connections from now on. */
  void link(FaultProxy.Mode mode) {
    link.mode(mode);
  }

  /** Chooses whether it runs requests and closes the connection instead of answering. */
  void losesAnswers(boolean loses) {
    losesAnswers = loses;
  }

  /** Chooses whether it turns requests away without running them. */
  void sheds(boolean turnsAway) {
    sheds = turnsAway;
  }

  @Override
  public boolean answer(EndpointStandin endpoint, HttpServerRequest request, int number) {
    if (sheds) {
      endpoint.turnAway(request);
      return true;
    }
    EndpointStandin.Seen seen = EndpointStandin.seen(request);
    ledger.ran(seen.requestId(), seen.uri(), seen.workspace());
    if (losesAnswers) {
      request.connection().close();
    }
    return losesAnswers;
  }
}
