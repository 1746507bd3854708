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
 * Stand-in of the platform: an append-only log with offsets and limited retention, and a host list
 * whose changes become visible with a delay. Confined to one event loop.
 */
public final class PlatformStandin extends JsonStandin {
  private static final int TOO_MANY_REQUESTS = 429;
  private static final int UNAVAILABLE = 503;
  private static final int DEFAULT_BATCH_SIZE = 500;

  /** Poll interval of a read that waits for new records, in milliseconds. */
  private static final long WAIT_POLL_MS = 10;

  /** Window of the limit on appends, in milliseconds. */
  private static final long RATE_WINDOW_MS = 1_000;

  private final Vertx vertx;
  private final int appendsPerSecond;
  private final int retention;
  private final Deque<StoredRecord> records = new ArrayDeque<>();
  private final List<Listing> listings = new ArrayList<>();
  private long nextOffset;
  private long windowStartMs;
  private int appendsInWindow;
  private boolean down;
  private boolean loseConfirmations;
  private long slowMs;
  private long listLagMs;

  /** A version of the host list and the time of its creation. */
  private record Listing(long sinceMs, HostList list) {}

  /**
   * Creates a platform that is not started.
   *
   * @param vertx the event loop
   * @param ip the address to listen on
   * @param port the port to listen on; 0 selects a free one
   * @param appendsPerSecond maximum number of appends per second
   * @param retention maximum number of records in the log
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
        .on("POST /hosts", ListedHost.class, this::listHost)
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

  private boolean rejectIfDown(HttpServerRequest request) {
    if (down) {
      JsonServer.status(request.response(), UNAVAILABLE);
    }
    return down;
  }

  private void runDelayed(Runnable action) {
    if (slowMs > 0) {
      vertx.setTimer(slowMs, id -> action.run());
    } else {
      action.run();
    }
  }

  private void append(HttpServerRequest request, Append append) {
    if (rejectIfDown(request)) {
      return;
    }
    long nowMs = System.currentTimeMillis();
    if (nowMs - windowStartMs >= RATE_WINDOW_MS) {
      windowStartMs = nowMs;
      appendsInWindow = 0;
    }
    if (++appendsInWindow > appendsPerSecond) {
      JsonServer.status(request.response(), TOO_MANY_REQUESTS);
      return;
    }
    long offset = nextOffset++;
    records.addLast(new StoredRecord(offset, append.content()));
    if (records.size() > retention) {
      records.removeFirst();
    }
    if (loseConfirmations) {
      request.connection().close();
      return;
    }
    runDelayed(() -> JsonServer.answer(request.response(), new Appended(offset)));
  }

  private void read(HttpServerRequest request) {
    if (rejectIfDown(request)) {
      return;
    }
    long from = JsonServer.number(request, "from", 0);
    int limit = (int) JsonServer.number(request, "most", DEFAULT_BATCH_SIZE);
    long untilMs = System.currentTimeMillis() + JsonServer.number(request, "waitMs", 0);
    runDelayed(() -> readOrWait(request, from, limit, untilMs));
  }

  private void readOrWait(HttpServerRequest request, long from, int limit, long untilMs) {
    if (request.response().closed() || rejectIfDown(request)) {
      return;
    }
    if (from >= nextOffset && System.currentTimeMillis() < untilMs) {
      vertx.setTimer(WAIT_POLL_MS, id -> readOrWait(request, from, limit, untilMs));
      return;
    }
    long first = records.isEmpty() ? nextOffset : records.peekFirst().offset();
    List<StoredRecord> batch =
        records.stream().filter(stored -> stored.offset() >= from).limit(limit).toList();
    JsonServer.answer(request.response(), new Batch(first, nextOffset, batch));
  }

  private void hosts(HttpServerRequest request) {
    if (rejectIfDown(request)) {
      return;
    }
    long asOfMs = System.currentTimeMillis() - listLagMs;
    HostList list = listings.get(0).list();
    for (Listing listing : listings) {
      if (listing.sinceMs() <= asOfMs) {
        list = listing.list();
      }
    }
    boolean unchanged = list.version() <= JsonServer.number(request, "after", -1);
    HostList answer = unchanged ? new HostList(list.version(), null) : list;
    JsonServer.answer(request.response(), answer);
  }

  private void listHost(HttpServerRequest request, ListedHost host) {
    HostList newest = listings.get(listings.size() - 1).list();
    List<ListedHost> hosts = new ArrayList<>(newest.hosts());
    hosts.removeIf(listed -> listed.name().equals(host.name()));
    hosts.add(host);
    HostList changed = new HostList(newest.version() + 1, List.copyOf(hosts));
    listings.add(new Listing(System.currentTimeMillis(), changed));
    JsonServer.answer(request.response(), changed);
  }
}
