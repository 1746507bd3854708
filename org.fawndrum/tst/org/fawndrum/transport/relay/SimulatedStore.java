// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.transport.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.fawndrum.errors.PlatformUnavailableException;
import org.fawndrum.protocol.KeyedLog;
import org.fawndrum.protocol.KeyedPage;
import org.fawndrum.protocol.KeyedPage.KeyedRecord;

/**
 * The platform's store in simulated time, with configurations whose value is their revision, and
 * the path of each host to it. Times are in milliseconds.
 */
final class SimulatedStore {
  /** One way between a host and the store. */
  private static final long ONE_WAY_MS = 2;

  /** What an answer of a slow store takes in addition: sixty times its usual time. */
  private static final long SLOW_MS = 240;

  private final SimulatedTime time;
  private final List<KeyedRecord> configurations = new ArrayList<>();
  private final List<Long> writtenMs = new ArrayList<>();
  private final List<Runnable> waiting = new ArrayList<>();

  /** What happens to a host's calls. */
  enum Path {
    /** They are answered. */
    INTACT,
    /** Nothing arrives, in either direction. */
    SILENT,
    /** Calls arrive, and answers do not. */
    ANSWERS_LOST,
    /** Connections are reset or refused. */
    RESET,
    /** The store turns calls away. */
    BUSY,
    /** Answers are slow. */
    SLOW
  }

  SimulatedStore(SimulatedTime time) {
    this.time = time;
  }

  /** Writes the next configuration; revisions begin with 1. */
  void write() {
    writtenMs.add(time.nowMs());
    byte[] revision = Integer.toString(writtenMs.size()).getBytes();
    configurations.add(new KeyedRecord(configurations.size(), "config", revision));
    List<Runnable> answered = List.copyOf(waiting);
    waiting.clear();
    answered.forEach(Runnable::run);
  }

  /** Returns the newest revision that was written up to a time; 0 if there is none. */
  int revisionAt(long atMs) {
    int revision = writtenMs.size();
    while (revision > 0 && writtenMs.get(revision - 1) > atMs) {
      revision--;
    }
    return revision;
  }

  /** Returns when a revision was written. */
  long writtenMs(int revision) {
    return writtenMs.get(revision - 1);
  }

  private List<KeyedRecord> records(KeyedLog.Topic topic) {
    return topic == KeyedLog.Topic.OPERATORS ? configurations : List.of();
  }

  private KeyedPage page(KeyedLog.Topic topic, long from) {
    List<KeyedRecord> records = records(topic);
    return new KeyedPage(records.subList((int) from, records.size()), records.size());
  }

  /** A host's connections to the store. */
  final class Client implements KeyedLog {
    private Path path = Path.INTACT;

    /** How many kept connections are dead without anybody knowing. */
    private int deadConnections;

    Path path() {
      return path;
    }

    void path(Path newPath) {
      path = newPath;
    }

    /** Lets the open connections fall silent for good; new ones work. */
    void silenceOpenConnections(int count) {
      deadConnections = count;
    }

    @Override
    public CompletableFuture<KeyedPage> newest(Topic topic, Call call) {
      return call(topic, 0, 0, call);
    }

    @Override
    public CompletableFuture<KeyedPage> read(Topic topic, long from, long waitMs, Call call) {
      return call(topic, from, waitMs, call);
    }

    private CompletableFuture<KeyedPage> call(Topic topic, long from, long waitMs, Call call) {
      CompletableFuture<KeyedPage> answer = new CompletableFuture<>();
      if (deadConnections > 0 && !call.newConnection()) {
        deadConnections--;
        failAfter(answer, waitMs + call.answerMs());
        return answer;
      }
      switch (path) {
        case SILENT -> failAfter(answer, call.answerMs());
        case RESET -> failAfter(answer, 1);
        case BUSY -> failAfter(answer, 2 * ONE_WAY_MS);
        default -> {
          long arrivesMs = ONE_WAY_MS + (path == Path.SLOW ? SLOW_MS : 0);
          time.runAfter(arrivesMs, () -> arrived(answer, topic, from, waitMs));
          failAfter(answer, waitMs + call.answerMs());
        }
      }
      return answer;
    }

    private void arrived(CompletableFuture<KeyedPage> answer, Topic topic, long from, long waitMs) {
      boolean[] sent = new boolean[1];
      Runnable reply =
          () -> {
            if (!sent[0]) {
              sent[0] = true;
              KeyedPage page = page(topic, from);
              time.runAfter(ONE_WAY_MS, () -> receive(answer, page));
            }
          };
      if (waitMs == 0 || from < records(topic).size()) {
        reply.run();
      } else {
        waiting.add(reply);
        time.runAfter(waitMs, reply);
      }
    }

    private void receive(CompletableFuture<KeyedPage> answer, KeyedPage page) {
      if (path == Path.INTACT || path == Path.SLOW) {
        answer.complete(page);
      }
    }

    private void failAfter(CompletableFuture<KeyedPage> answer, long afterMs) {
      time.runAfter(
          afterMs,
          () -> answer.completeExceptionally(new PlatformUnavailableException("simulated", null)));
    }
  }
}
