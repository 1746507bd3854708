// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.fawndrum.coordination.StutteringEndpoints;
import org.fawndrum.coordination.link.EndpointLinks;
import org.fawndrum.coordination.link.ProxySelector;
import org.fawndrum.coordination.membership.FleetMember;
import org.fawndrum.errors.ProxyFailedException;
import org.fawndrum.internal.log.HostLog;
import org.fawndrum.protocol.wire.ProxyFailure;
import org.fawndrum.protocol.wire.ProxyOpen;
import org.fawndrum.state.Endpoint;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.transport.HostClock;
import org.fawndrum.transport.proxy.ConnectionUses;
import org.fawndrum.transport.proxy.EndpointRequest;
import org.fawndrum.transport.proxy.ProxyClient;

/**
 * Opens requests to endpoints over this host's own links, and through other hosts where a link is
 * lost. Whether an endpoint or only this host's link to it has failed is decided with the help of
 * another host. Safe for all event loops.
 */
final class EndpointPaths implements EndpointRequests {
  /**
   * Silence of an endpoint after which the link to it is checked, in milliseconds. Callers of short
   * prompts wait two seconds.
   */
  private static final long SILENCE_MS = 1_000;

  /**
   * How long a request waits for another host when this host could not connect, in milliseconds. A
   * host that reaches the endpoint needs a few; one that does not is a reason to try another
   * endpoint rather than to wait until that host knows.
   */
  private static final long ASK_MS = 100;

  private final EndpointClient client;
  private final EndpointLinks links;
  private final ProxyClient proxies;
  private final String self;
  private final HostClock clock;
  private final LinkLog linkLog;
  private final LinkChecks checks;
  private final ConnectionUses uses = new ConnectionUses();
  private final StutteringEndpoints stuttering = new StutteringEndpoints();

  /** Why a connection to an endpoint was lost. */
  enum Loss {
    /** The endpoint ended: it refuses connections of this host and of another one. */
    ENDPOINT_ENDED,
    /** This host's link was lost, or the host that proxied the request. */
    PATH,
    /** Unknown. */
    UNKNOWN
  }

  /**
   * Creates the paths of a host.
   *
   * @param self the name of this host
   */
  EndpointPaths(
      EndpointClient client,
      EndpointLinks links,
      LinkChecks checks,
      ProxyClient proxies,
      String self,
      HostClock clock,
      LinkLog linkLog) {
    this.client = client;
    this.links = links;
    this.proxies = proxies;
    this.self = self;
    this.clock = clock;
    this.linkLog = linkLog;
    this.checks = checks;
  }

  /** Creates the paths of a host with its clients. */
  static EndpointPaths create(
      Vertx vertx,
      RelaySettings settings,
      Supplier<List<FleetMember>> livePeers,
      HostClock clock,
      MetricRegistry registry,
      HostLog log,
      Consumer<RelayEvent> events) {
    EndpointLinks links = new EndpointLinks();
    LinkLog linkLog = new LinkLog(links, registry, clock, log);
    ProxySelector selector = new ProxySelector(settings.host(), settings.zone());
    EndpointClient client = new EndpointClient(vertx, linkLog);
    return new EndpointPaths(
        client,
        links,
        new LinkChecks(vertx, client, links, clock, linkLog, events),
        new ProxyClient(vertx, livePeers, selector, clock),
        settings.host(),
        clock,
        linkLog);
  }

  /** Returns the checks of the links. */
  LinkChecks checks() {
    return checks;
  }

  /**
   * Returns a request on an open connection; nothing has been sent to the endpoint. Fails with a
   * {@link ProxyFailedException} of the kind {@code NO_LINK} if there is no way to the endpoint,
   * and otherwise if the endpoint accepts no connection.
   */
  Future<EndpointRequest> request(Endpoint endpoint, Call call) {
    if (links.isLost(endpoint.name())) {
      return throughOtherHost(endpoint, call);
    }
    return open(endpoint, call.method(), call.uri(), call.repeatable())
        .map(request -> EndpointRequest.direct(request, uses.opened(request)))
        .recover(cause -> askOthers(endpoint, call, cause));
  }

  /**
   * Returns a request of another host over this host's own link; nothing has been written to it.
   * This host's own requests share its connection, so that it counts, too.
   */
  Future<HttpClientRequest> connect(
      Endpoint endpoint, HttpMethod method, String uri, boolean repeatable) {
    return open(endpoint, method, uri, repeatable).onSuccess(uses::opened);
  }

  private Future<HttpClientRequest> open(
      Endpoint endpoint, HttpMethod method, String uri, boolean repeatable) {
    return client
        .request(endpoint, losses(endpoint), method, uri, repeatable)
        .onSuccess(
            request -> {
              // A connection that was used before may have been lost since.
              if (!repeatable) {
                checks.connected(endpoint);
              }
            })
        .onFailure(cause -> links.connectFailed(endpoint.name()));
  }

  /** Asks another host for an endpoint that this host failed to reach. */
  private Future<EndpointRequest> askOthers(Endpoint endpoint, Call call, Throwable cause) {
    if (!links.mayAskOthers(endpoint.name(), clock.nowMs())) {
      return Future.failedFuture(cause);
    }
    Future<EndpointRequest> asked = throughOtherHost(endpoint, call);
    asked.onSuccess(opened -> checks.linkLost(endpoint));
    return asked
        .timeout(ASK_MS, TimeUnit.MILLISECONDS)
        .recover(
            unused -> {
              // It may still be opened, which shows that the link is lost, but nobody waits for it.
              asked.onSuccess(EndpointRequest::reset);
              checks.sweep(false);
              return Future.failedFuture(cause);
            });
  }

  @Override
  public Future<EndpointRequest> throughOtherHost(Endpoint endpoint, Call call) {
    ProxyOpen.Builder open =
        open(endpoint)
            .setMethod(call.method().name())
            .setUri(call.uri())
            .setRepeatable(call.repeatable())
            .setRequestId(call.requestId())
            .setRemainingMs(call.remainingMs());
    return proxies
        .open(open.build())
        .onSuccess(request -> linkLog.sentThrough(call, endpoint, request))
        .onFailure(cause -> notReached(endpoint, cause));
  }

  private ProxyOpen.Builder open(Endpoint endpoint) {
    return ProxyOpen.newBuilder()
        .setEndpoint(endpoint.name())
        .setIncarnation(endpoint.incarnation())
        .setFromHost(self);
  }

  private void notReached(Endpoint endpoint, Throwable cause) {
    if (cause instanceof ProxyFailedException failure && failure.isEndpointAtFault()) {
      links.endpointUnreached(endpoint.name(), clock.nowMs());
    }
  }

  /** Records that data of an endpoint arrived over this host's own link. */
  void heard(Endpoint endpoint) {
    links.heard(endpoint.name(), clock.nowMs());
  }

  /** Records that an endpoint answered a request twice, over whatever path. */
  void stuttered(Endpoint endpoint) {
    stuttering.stuttered(endpoint.identity(), clock.nowMs());
  }

  /** Returns whether an endpoint answered a request twice not long ago. */
  boolean isStuttering(Endpoint endpoint) {
    return stuttering.isRemembered(endpoint.identity(), clock.nowMs());
  }

  /** Returns whether this host failed to connect to an endpoint since its last data. */
  boolean isUnreached(Endpoint endpoint) {
    return links.isUnreached(endpoint.name());
  }

  /** Checks the link to an endpoint that owes an answer, if nothing has arrived for long. */
  void checkIfSilent(Endpoint endpoint, long silentMs) {
    if (silentMs >= SILENCE_MS
        && links.takeSilenceCheck(endpoint.name(), SILENCE_MS, clock.nowMs())) {
      unanswered(endpoint);
    }
  }

  @Override
  public void unanswered(Endpoint endpoint) {
    if (links.isLost(endpoint.name())) {
      return;
    }
    checks
        .check(endpoint)
        .onSuccess(
            failure -> {
              if (failure.isPresent() && links.mayAskOthers(endpoint.name(), clock.nowMs())) {
                confirmLoss(endpoint);
              }
            });
  }

  /** Asks another host whether it reaches an endpoint; if so, this host's link is lost. */
  private Future<EndpointRequest> confirmLoss(Endpoint endpoint) {
    return proxies
        .open(open(endpoint).setCheck(true).build())
        .onSuccess(
            accepted -> {
              accepted.reset();
              checks.linkLost(endpoint);
            })
        .onFailure(
            cause -> {
              notReached(endpoint, cause);
              checks.sweep(false);
            });
  }

  /**
   * Returns why a connection to an endpoint was lost. A refusal that only this host gets is no
   * proof that the endpoint ended: a firewall or a broken path may refuse on its behalf.
   */
  Future<Loss> whyLost(Endpoint endpoint) {
    return checks
        .check(endpoint)
        .compose(
            failure -> {
              if (failure.isEmpty()) {
                return Future.succeededFuture(Loss.UNKNOWN);
              }
              boolean refused = failure.get() == ConnectFailure.REFUSED;
              return checks
                  .reachesOthers(endpoint)
                  .compose(reaches -> reaches ? compare(endpoint, refused) : ownLoss(endpoint));
            });
  }

  /**
   * Returns the loss of a host that does not reach other endpoints either. The link is recorded as
   * lost before, so that the request is not sent over it again.
   */
  private Future<Loss> ownLoss(Endpoint endpoint) {
    return confirmLoss(endpoint).transform(any -> Future.succeededFuture(Loss.PATH));
  }

  /**
   * Asks another host why a connection was lost.
   *
   * @param refused whether the endpoint refuses connections of this host
   */
  private Future<Loss> compare(Endpoint endpoint, boolean refused) {
    Loss alone = refused ? Loss.ENDPOINT_ENDED : Loss.UNKNOWN;
    if (!proxies.hasProxies()) {
      return Future.succeededFuture(alone);
    }
    return confirmLoss(endpoint)
        .map(accepted -> Loss.PATH)
        .recover(cause -> Future.succeededFuture(isRefusal(cause) ? alone : Loss.UNKNOWN));
  }

  private static boolean isRefusal(Throwable cause) {
    return cause instanceof ProxyFailedException failure
        && failure.kind() == ProxyFailure.Kind.REFUSED;
  }

  @Override
  public boolean isLinkLost(Endpoint endpoint) {
    return links.isLost(endpoint.name());
  }

  /** Returns whether this host's own link to an endpoint is lost. */
  boolean isLinkLost(HostIdentity endpoint) {
    return links.isLost(endpoint.host());
  }

  @Override
  public int losses(Endpoint endpoint) {
    return links.losses(endpoint.name());
  }
}
