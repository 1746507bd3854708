// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.standin;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.fawndrum.protocol.PlatformMessages.Append;
import org.fawndrum.protocol.PlatformMessages.Appended;
import org.fawndrum.protocol.PlatformMessages.Batch;
import org.fawndrum.protocol.PlatformMessages.Faults;
import org.fawndrum.protocol.PlatformMessages.HostList;
import org.fawndrum.protocol.PlatformMessages.ListedHost;
import org.fawndrum.protocol.PlatformMessages.StoredRecord;

/**
 * The platform's stand-in: an append-only log with offsets and limited retention, and a list of
 * hosts that lags. All state is confined to one event loop.
 */
public final class PlatformStandin extends JsonStandin {
  private static final int TOO_MANY = 429;
  private static final int UNAVAILABLE = 503;
  private static final int DEFAULT_MOST = 500;
  private static final long WAIT_LOOK_MS = 10;
  private static final long WINDOW_MS = 1_000;

  private final Vertx vertx;
  private final int appendsPerSecond;
  private final int retention;
  private final Deque<StoredRecord> records = new ArrayDeque<>();
  private final List<Listing> listings = new ArrayList<>();
  private long next;
  private long windowStartMs;
  private int appendsInWindow;
  private boolean down;
  private boolean loseConfirmations;
  private long slowMs;
  private long listLagMs;

  /** A list with the time from which it was true. */
  private record Listing(long sinceMs, HostList list) {}

  /**
   * Makes a platform that has not started.
   *
   * @param vertx runs it
   * @param ip where it listens
   * @param port where it listens; 0 takes a free one
   * @param appendsPerSecond how many appends it takes a second
   * @param retention how many records it keeps
   */
  public PlatformStandin(Vertx vertx, String ip, int port, int appendsPerSecond, int retention) {
    super(vertx, ip, port);
    this.vertx = vertx;
    this.appendsPerSecond = appendsPerSecond;
    this.retention = retention;
    listings.add(new Listing(0, new HostList(0, List.of())));
    server
        .on("POST /log", Append.class, this::append)
        .on("GET /log", (request, body) -> read(request))
        .on("GET /hosts", (request, body) -> hosts(request))
        .on("POST /hosts", ListedHost.class, this::list)
        .on("POST /faults", Faults.class, this::faults);
  }

  private void faults(HttpServerRequest request, Faults faults) {
    down = faults.down() != null ? faults.down() : down;
    loseConfirmations =
        faults.loseConfirmations() != null ? faults.loseConfirmations() : loseConfirmations;
    slowMs = faults.slowMs() != null ? faults.slowMs() : slowMs;
    listLagMs = faults.listLagMs() != null ? faults.listLagMs() : listLagMs;
    if (faults.forgetBefore() != null) {
      forgetBefore(faults.forgetBefore());
    }
    JsonServer.answer(request.response(), faults);
  }

  private void forgetBefore(long offset) {
    while (!records.isEmpty() && records.peekFirst().offset() < offset) {
      records.removeFirst();
    }
  }

  private boolean refusedAsDown(HttpServerRequest request) {
    if (down) {
      JsonServer.status(request.response(), UNAVAILABLE);
    }
    return down;
  }

  private void slowly(Runnable step) {
    if (slowMs > 0) {
      vertx.setTimer(slowMs, id -> step.run());
    } else {
      step.run();
    }
  }

  private void append(HttpServerRequest request, Append append) {
    if (refusedAsDown(request)) {
      return;
    }
    long nowMs = System.currentTimeMillis();
    if (nowMs - windowStartMs >= WINDOW_MS) {
      windowStartMs = nowMs;
      appendsInWindow = 0;
    }
    if (++appendsInWindow > appendsPerSecond) {
      JsonServer.status(request.response(), TOO_MANY);
      return;
    }
    long offset = next++;
    records.addLast(new StoredRecord(offset, append.content()));
    if (records.size() > retention) {
      records.removeFirst();
    }
    if (loseConfirmations) {
      request.connection().close();
      return;
    }
    slowly(() -> JsonServer.answer(request.response(), new Appended(offset)));
  }

  private void read(HttpServerRequest request) {
    if (refusedAsDown(request)) {
      return;
    }
    long from = JsonServer.number(request, "from", 0);
    int most = (int) JsonServer.number(request, "most", DEFAULT_MOST);
    long untilMs = System.currentTimeMillis() + JsonServer.number(request, "waitMs", 0);
    slowly(() -> readOrWait(request, from, most, untilMs));
  }

  private void readOrWait(HttpServerRequest request, long from, int most, long untilMs) {
    if (request.response().closed() || refusedAsDown(request)) {
      return;
    }
    if (from >= next && System.currentTimeMillis() < untilMs) {
      vertx.setTimer(WAIT_LOOK_MS, id -> readOrWait(request, from, most, untilMs));
      return;
    }
    long first = records.isEmpty() ? next : records.peekFirst().offset();
    List<StoredRecord> batch =
        records.stream().filter(one -> one.offset() >= from).limit(most).toList();
    JsonServer.answer(request.response(), new Batch(first, next, batch));
  }

  private void hosts(HttpServerRequest request) {
    if (refusedAsDown(request)) {
      return;
    }
    long asOfMs = System.currentTimeMillis() - listLagMs;
    HostList list = listings.get(0).list();
    for (Listing listing : listings) {
      if (listing.sinceMs() <= asOfMs) {
        list = listing.list();
      }
    }
    boolean known = list.version() <= JsonServer.number(request, "after", -1);
    HostList answer = known ? new HostList(list.version(), null) : list;
    JsonServer.answer(request.response(), answer);
  }

  private void list(HttpServerRequest request, ListedHost host) {
    HostList newest = listings.get(listings.size() - 1).list();
    List<ListedHost> hosts = new ArrayList<>(newest.hosts());
    hosts.removeIf(one -> one.name().equals(host.name()));
    hosts.add(host);
    HostList changed = new HostList(newest.version() + 1, List.copyOf(hosts));
    listings.add(new Listing(System.currentTimeMillis(), changed));
    JsonServer.answer(request.response(), changed);
  }
}
