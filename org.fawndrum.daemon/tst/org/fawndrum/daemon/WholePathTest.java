// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.fawndrum.protocol.EngineMessages.Faults;
import org.fawndrum.protocol.OperatorMessages.ChangeView;
import org.fawndrum.protocol.PlatformMessages;
import org.fawndrum.standin.AnswerText;
import org.fawndrum.standin.PlainStandin;
import org.fawndrum.transport.EntryHostRuntime;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** End-to-end tests of daemons over loopback, with faults of endpoints, platform and hosts. */
class WholePathTest {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int OK = 200;
  private static final int CONFLICT = 409;
  private static final Faults NONE =
      new Faults(false, false, false, -1L, false, false, false, null);

  private final TestSite site = new TestSite();

  @AfterEach
  void close() {
    site.close();
  }

  private static String content(HttpResponse<String> response) throws IOException {
    return MAPPER.readTree(response.body()).at("/choices/0/message/content").asText();
  }

  private static String ran(HttpResponse<String> response) throws IOException {
    return MAPPER.readTree(response.body()).at("/error/ran").asText();
  }

  private static String code(HttpResponse<String> response) throws IOException {
    return MAPPER.readTree(response.body()).at("/error/code").asText();
  }

  @Test
  void completeAnswerIsReturned() throws IOException {
    site.startStandardSite();
    HttpResponse<String> response = site.chat(site.hosts.get(0), "hello there", 20);
    assertEquals(OK, response.statusCode());
    assertEquals(AnswerText.fullText("hello there", 20), content(response));
  }

  @Test
  void answerIsCompleteDespiteTruncatedReorderedRepeatedAndMissingChunks() throws IOException {
    int firstEngine = site.engine("engine-1", "a");
    int secondEngine = site.engine("engine-2", "a");
    EntryHostRuntime host = site.host("host-a", "a");
    site.publishTable(host);
    site.ready(host);
    List<Faults> faults =
        List.of(
            new Faults(null, null, null, 7L, null, null, null, null),
            new Faults(null, null, null, null, true, true, null, null),
            new Faults(null, null, null, null, null, null, true, null),
            new Faults(true, null, null, null, null, null, null, null));
    for (Faults fault : faults) {
      site.engineFaults(firstEngine, fault);
      for (int i = 0; i < 4; i++) {
        String prompt = "prompt " + i;
        assertEquals(AnswerText.fullText(prompt, 12), content(site.chat(host, prompt, 12)));
      }
      site.engineFaults(firstEngine, NONE);
    }
    TestSite.until(
        "no streams are held",
        () -> heldStreams(firstEngine) == 0 && heldStreams(secondEngine) == 0);
  }

  private long heldStreams(int port) {
    try {
      return MAPPER.readTree(site.get(port, "/v1/holdings", "").body()).get("holdings").size();
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }

  @Test
  void nonRepeatableRequestRunsOnceWhenItsAnswerIsLost() throws IOException {
    int plain = site.plain("ordering-1", "a");
    site.plain("ordering-2", "a");
    site.startStandardSite();
    site.post(plain, "/faults", "", new PlainStandin.Faults(false, true, 0));
    HttpResponse<String> first = site.order(site.hosts.get(0), "k1", 0);
    if (first.statusCode() == OK) {
      return;
    }
    assertEquals("unknown", ran(first));
    site.post(plain, "/faults", "", new PlainStandin.Faults(false, false, 0));
    for (EntryHostRuntime host : site.hosts) {
      HttpResponse<String> again = site.order(host, "k1", 1);
      assertEquals(CONFLICT, again.statusCode());
      assertFalse("no".equals(ran(again)));
    }
    assertEquals(1, site.runs(plain, "k1"));
  }

  @Test
  void requestRefusedByTheServiceRunsOnceThroughAnotherHost() throws IOException {
    int plain = site.plain("ordering-1", "a");
    site.startStandardSite();
    site.post(plain, "/faults", "", new PlainStandin.Faults(true, false, 0));
    HttpResponse<String> first = site.order(site.hosts.get(0), "k2", 0);
    assertEquals("no", ran(first));
    assertEquals(0, site.runs(plain, "k2"));
    site.post(plain, "/faults", "", new PlainStandin.Faults(false, false, 0));
    TestSite.until(
        "runs through the other host",
        () -> site.order(site.hosts.get(1), "k2", 1).statusCode() == OK);
    HttpResponse<String> third = site.order(site.hosts.get(0), "k2", 2);
    assertEquals("already_ran", code(third));
    assertEquals(1, site.runs(plain, "k2"));
  }

  @Test
  void keyWithoutRetryCountSentThroughTwoHostsAtOnceRunsAtMostOnce() {
    int plain = site.plain("ordering-1", "a");
    site.startStandardSite();
    for (int i = 0; i < 10; i++) {
      String key = "race-" + i;
      CompletableFuture<?> one =
          CompletableFuture.runAsync(() -> site.order(site.hosts.get(0), key, null));
      CompletableFuture<?> two =
          CompletableFuture.runAsync(() -> site.order(site.hosts.get(1), key, null));
      CompletableFuture.allOf(one, two).join();
      assertTrue(site.runs(plain, key) <= 1);
    }
  }

  @Test
  void plannedShutdownAbortsNoRequestAndHandsKeysOver() throws IOException {
    int plain = site.plain("ordering-1", "a");
    site.startStandardSite();
    EntryHostRuntime other = site.host("host-a2", "a");
    site.ready(other);
    EntryHostRuntime stopping = site.hosts.get(0);
    TestSite.until("peers know each other", () -> stopping.status().peers().size() == 2);
    assertEquals(OK, site.order(stopping, "k3", 0).statusCode());
    TestSite.until("the order is completed", () -> stopping.status().requestsOpen() == 0);
    CompletableFuture<HttpResponse<String>> inProgress =
        CompletableFuture.supplyAsync(() -> site.chat(stopping, "long answer", 600));
    TestSite.until("in progress", () -> stopping.status().requestsOpen() == 1);
    CompletableFuture<Void> drained = stopping.drain();
    assertEquals("draining", stopping.status().state());
    HttpResponse<String> refused = site.chat(stopping, "too late", 4);
    assertEquals("draining", code(refused));
    assertEquals("no", ran(refused));
    assertEquals(AnswerText.fullText("long answer", 600), content(inProgress.join()));
    drained.join();
    HttpResponse<String> again = site.order(other, "k3", 1);
    assertEquals("already_ran", code(again));
    assertEquals(1, site.runs(plain, "k3"));
  }

  @Test
  void concurrentPublicationsHaveOneWinnerWhoseOperatorIsNamed() {
    site.startStandardSite();
    long revision = site.hosts.get(0).status().tableRevision();
    ChangeView one = new ChangeView("counter/chat", "share", "5");
    ChangeView two = new ChangeView("counter/chat", "share", "6");
    HttpResponse<String> first = site.publish(site.hosts.get(0), "p1", revision, List.of(one));
    HttpResponse<String> second = site.publish(site.hosts.get(1), "p2", revision, List.of(two));
    assertEquals(OK, first.statusCode());
    assertEquals(CONFLICT, second.statusCode());
    assertTrue(second.body().contains("\"operator\":\"ana\""), second.body());
    TestSite.until(
        "in force everywhere",
        () -> site.hosts.stream().allMatch(host -> host.status().tableRevision() == revision + 1));
  }

  @Test
  void publicationWithLostConfirmationTakesEffect() {
    site.startStandardSite();
    site.platformFaults(new PlatformMessages.Faults(null, true, null, null, null));
    long revision = site.hosts.get(0).status().tableRevision();
    ChangeView change = new ChangeView("counter/chat", "share", "7");
    HttpResponse<String> response =
        site.publish(site.hosts.get(0), "p3", revision, List.of(change));
    assertEquals(OK, response.statusCode(), response.body());
  }

  @Test
  void invalidCellsAreReportedAndNothingIsPublished() {
    site.startStandardSite();
    long revision = site.hosts.get(0).status().tableRevision();
    ChangeView bad = new ChangeView("counter/chat", "share", "many");
    ChangeView good = new ChangeView("counter/chat", "in_flight", "7");
    HttpResponse<String> response =
        site.publish(site.hosts.get(0), "p4", revision, List.of(good, bad));
    assertEquals(422, response.statusCode());
    assertTrue(response.body().contains("a whole number from 1 to 1000000"), response.body());
    assertEquals(revision, site.hosts.get(0).status().tableRevision());
  }

  @Test
  void newHostReceivesTableAndEndpointsFromPeersWhileThePlatformIsDown() throws IOException {
    site.startStandardSite();
    long revision = site.hosts.get(0).status().tableRevision();
    site.platformFaults(new PlatformMessages.Faults(true, null, null, null, null));
    EntryHostRuntime newHost = site.host("host-a2", "a");
    TestSite.until("ready from peers", () -> "ready".equals(newHost.status().state()));
    assertEquals(revision, newHost.status().tableRevision());
    assertEquals(AnswerText.fullText("hi", 5), content(site.chat(newHost, "hi", 5)));
    assertEquals("not_registered", code(site.order(newHost, "k4", 0)));
  }

  @Test
  void hostStartsFromSnapshotWhenOlderLogRecordsHaveExpired() {
    site.startStandardSite();
    EntryHostRuntime host = site.hosts.get(0);
    for (int i = 0; i < 520; i++) {
      ChangeView change = new ChangeView("counter/chat", "in_flight", Integer.toString(1_000 + i));
      long revision = host.status().tableRevision();
      assertEquals(OK, site.publish(host, "many-" + i, revision, List.of(change)).statusCode());
    }
    TestSite.until("a snapshot is in the log", () -> site.newestSnapshot() > 0);
    long newestSnapshot = site.newestSnapshot();
    site.platformFaults(new PlatformMessages.Faults(null, null, null, null, newestSnapshot));
    EntryHostRuntime newHost = site.host("late", "c");
    site.ready(newHost);
    assertEquals(revisionOf(host), revisionOf(newHost));
  }

  private static long revisionOf(EntryHostRuntime host) {
    return host.status().tableRevision();
  }

  @Test
  void drainingEndpointReceivesNoNewWorkFromAnyHost() throws IOException {
    int draining = site.engine("engine-0", "a");
    site.startStandardSite();
    site.platformFaults(new PlatformMessages.Faults(null, null, null, 600_000, null));
    site.engineFaults(draining, new Faults(null, null, true, null, null, null, null, null));
    for (EntryHostRuntime host : site.hosts) {
      TestSite.until(
          "known to be shutting down",
          () -> host.status().endpointsLeaving().stream().anyMatch(e -> e.startsWith("engine-0")));
      assertFalse(host.status().endpointsOpen().contains("engine-0"));
      assertEquals(OK, site.chat(host, "x", 3).statusCode());
    }
  }

  @Test
  void rollingRestartUnderLoadLosesNoRequest() throws IOException {
    int plain = site.plain("ordering-1", "a");
    site.startStandardSite();
    List<EntryHostRuntime> live = new java.util.concurrent.CopyOnWriteArrayList<>(site.hosts);
    CompletableFuture<Integer> load = CompletableFuture.supplyAsync(() -> callAll(live));
    for (int i = 0; i < 2; i++) {
      EntryHostRuntime old = site.hosts.get(i);
      EntryHostRuntime successor = site.host("host-new-" + i, i == 0 ? "a" : "b");
      site.ready(successor);
      TestSite.until("successors are known", () -> old.status().peers().size() >= 2);
      live.add(successor);
      live.remove(old);
      old.drain().join();
      assertEquals("drained", old.status().state());
    }
    int calls = load.join();
    for (int i = 0; i < calls; i++) {
      assertTrue(site.runs(plain, "roll-" + i) <= 1);
    }
  }

  /**
   * Sends calls like clients of a load balancer, which retry a request that did not run at another
   * host.
   */
  private int callAll(List<EntryHostRuntime> live) {
    int calls = 60;
    for (int i = 0; i < calls; i++) {
      String prompt = "rolling " + i;
      String expected = AnswerText.fullText(prompt, 30);
      int index = i;
      TestSite.until("whole answer " + i, () -> expected.equals(chatContent(live, index, prompt)));
      site.order(live.get(index % live.size()), "roll-" + i, 0);
    }
    return calls;
  }

  private String chatContent(List<EntryHostRuntime> live, int index, String prompt) {
    try {
      HttpResponse<String> response = site.chat(live.get(index % live.size()), prompt, 30);
      boolean refused = response.statusCode() != OK;
      // No admitted request may fail while hosts are stopped one after the other.
      assertTrue(!refused || "draining".equals(code(response)), response.body());
      return refused ? "" : content(response);
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }
}
