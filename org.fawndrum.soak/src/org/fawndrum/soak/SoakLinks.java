// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.soak;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.fawndrum.platform.standin.HostLinks;
import org.fawndrum.platform.standin.LinkStandin;
import org.fawndrum.state.HostAddress;

/** The paths from each daemon to the endpoints, where they can fail. Confined to one event loop. */
final class SoakLinks {
  /** Ways in which links are lost. */
  private static final LinkStandin.Mode[] LOSSES = {
    LinkStandin.Mode.SILENT, LinkStandin.Mode.RESETTING, LinkStandin.Mode.REFUSING
  };

  /** Additional duration of a loss, in milliseconds: twice the time to find another way. */
  private static final long EXTRA_MS = 2 * LinkChecker.CONTACT_MS;

  /** Number of zones; hosts alternate between them. */
  private static final int ZONES = 2;

  private final Vertx vertx;
  private final LinkChecker checker;
  private final int hosts;
  private final boolean canFail;
  private final Consumer<Boolean> onImpaired;
  private final List<HostLinks> links = new ArrayList<>();

  /**
   * Creates the paths of a site.
   *
   * @param canFail whether they can fail; if not, daemons connect to endpoints directly
   * @param onImpaired called when connections to endpoints are impaired, and when they are not
   */
  SoakLinks(
      Vertx vertx, LinkChecker checker, int hosts, boolean canFail, Consumer<Boolean> onImpaired) {
    this.vertx = vertx;
    this.checker = checker;
    this.hosts = hosts;
    this.canFail = canFail;
    this.onImpaired = onImpaired;
  }

  /**
   * Opens the paths of the next host. Returns the path to each endpoint; none if they can't fail.
   */
  Map<HostAddress, HostAddress> open(List<SoakEndpoint> endpoints, HostSettings settings) {
    if (!canFail) {
      return Map.of();
    }
    HostLinks opened = new HostLinks(settings::freeAddress);
    links.add(opened);
    return endpoints.stream()
        .map(SoakEndpoint::entryAddress)
        .collect(Collectors.toUnmodifiableMap(address -> address, opened::addressOf));
  }

  /**
   * Cuts a host, or all hosts of its zone, from all endpoints; ends that after a time that is long
   * enough to be checked.
   */
  void lose(Fault fault, boolean begins) {
    if (begins) {
      set(fault, true);
    } else {
      vertx.setTimer(EXTRA_MS, timer -> set(fault, false));
    }
  }

  private void set(Fault fault, boolean lost) {
    int first = fault.target() % hosts;
    boolean wholeZone = fault.durationMs() % 2 == 0;
    LinkStandin.Mode mode = LOSSES[(int) (fault.durationMs() / 2 % LOSSES.length)];
    for (int host = first % ZONES; host < links.size(); host += ZONES) {
      if (wholeZone || host == first) {
        set(host, lost ? mode : LinkStandin.Mode.INTACT);
      }
    }
    onImpaired.accept(lost);
  }

  private void set(int host, LinkStandin.Mode mode) {
    links.get(host).setAll(mode);
    boolean lost = mode != LinkStandin.Mode.INTACT;
    checker.recordLinks(HostSettings.name(host), lost, Soak.nowMs());
  }

  /** Ends all losses. */
  void endFaults() {
    for (int host = 0; host < links.size(); host++) {
      set(host, LinkStandin.Mode.INTACT);
    }
  }

  /** Closes all paths. */
  void close() {
    links.forEach(HostLinks::close);
  }
}
