// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.coordination;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.fawndrum.coordination.engine.EngineJob;
import org.fawndrum.coordination.engine.EngineLoad;
import org.fawndrum.coordination.engine.EngineNews;
import org.fawndrum.coordination.membership.FleetReport;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.RequestAims;

/**
 * Keeps what every endpoint has to do: this host's own work, which it announces, and the work that
 * other daemons announced. Work at endpoints that are not known counts at none of them; news about
 * work that is not known change nothing. Confined to one thread; times are those of the host's
 * clock, in milliseconds.
 */
final class EngineWork {
  /** The bits of a job's id below those that tell the daemons apart. */
  private static final int COUNT_BITS = 32;

  private final EndpointBook endpoints;
  private final List<Action> out;
  private final Map<Long, EngineJob> own = new HashMap<>();
  private final Set<Long> ownRead = new HashSet<>();
  private final Map<HostIdentity, Map<Long, EngineJob>> others = new HashMap<>();
  private long nextId;

  EngineWork(HostIdentity self, EndpointBook endpoints, List<Action> out) {
    this.endpoints = endpoints;
    this.out = out;
    this.nextId = (long) self.hashCode() << COUNT_BITS;
  }

  /** Takes note of an attempt that is sent now, with a job at each engine that takes part. */
  void placed(
      LiveRequest.Attempt attempt, RequestFacts facts, Placement.Choice choice, long nowMs) {
    int parts = 1 + choice.helpers().size();
    long elsewhere = choice.helpers().stream().mapToLong(Placement.Helper::memoryTokens).sum();
    long memory = facts.promptTokens() == 0 ? 0 : facts.workTokens() - elsewhere;
    add(attempt, job(choice.state(), facts, memory, parts, true, nowMs), nowMs);
    for (Placement.Helper helper : choice.helpers()) {
      EngineJob job = job(helper.state(), facts, helper.memoryTokens(), parts, false, nowMs);
      add(attempt, job, nowMs);
    }
  }

  private EngineJob job(
      EndpointState at, RequestFacts facts, long memory, int parts, boolean writes, long nowMs) {
    HostIdentity endpoint = at.endpoint().identity();
    RequestAims aims = facts.aims().after(nowMs - facts.arrivedMs());
    return new EngineJob(
        nextId++, endpoint, facts.promptTokens(), memory, parts, writes, aims, nowMs);
  }

  private void add(LiveRequest.Attempt attempt, EngineJob job, long nowMs) {
    attempt.jobs.add(job.id());
    own.put(job.id(), job);
    onLoad(job, load -> load.add(job, nowMs));
    announce(job, new EngineNews.Placed(job));
  }

  /** Takes note that the prompt of an attempt has been read. */
  void read(LiveRequest.Attempt attempt, long nowMs) {
    for (long id : attempt.jobs) {
      EngineJob job = own.get(id);
      if (job != null && ownRead.add(id)) {
        onLoad(job, load -> load.read(id, nowMs));
        announce(job, new EngineNews.Read(id));
      }
    }
  }

  /**
   * Takes note that an attempt ended.
   *
   * @param failed whether its endpoint seems to be the cause
   */
  void ended(LiveRequest.Attempt attempt, boolean failed, long nowMs) {
    for (long id : attempt.jobs) {
      EngineJob job = own.remove(id);
      ownRead.remove(id);
      if (job != null) {
        onLoad(job, load -> load.ended(id, nowMs));
        boolean atFault =
            attempt.helperAtFault == null
                ? failed && job.writes()
                : job.endpoint().equals(attempt.helperAtFault);
        announce(job, new EngineNews.Ended(id, atFault));
      }
    }
  }

  private void announce(EngineJob job, EngineNews news) {
    EndpointState state = endpoints.state(job.endpoint());
    boolean engine = state != null && state.endpoint().kind() == EndpointKind.MODEL;
    out.add(new Action.Announce(news, engine ? state.endpoint().zone() : FleetReport.EVERYWHERE));
  }

  /** Changes the load of a job's endpoint, if the endpoint is known. */
  private void onLoad(EngineJob job, Consumer<EngineLoad> change) {
    endpoints.ifKnown(job.endpoint(), state -> change.accept(state.load()));
  }

  /**
   * Tells whether an attempt hangs on one of some starts of endpoints: one that writes its answer,
   * holds memory for it, or still reads a part of its prompt. An answer that has begun hangs on the
   * start that gives it, which may be a later one than was known when it was sent: if that one is
   * over, its connection breaks or falls silent.
   */
  boolean hangsOn(LiveRequest.Attempt attempt, Predicate<HostIdentity> starts) {
    HostIdentity first = attempt.endpoint.endpoint().identity();
    if (attempt.state == AttemptState.RUNNING && starts.test(first)) {
      return false;
    }
    for (long id : attempt.jobs) {
      EngineJob job = own.get(id);
      if (job != null && starts.test(job.endpoint())) {
        boolean stillNeeded = job.writes() || job.memoryTokens() > 0 || !ownRead.contains(id);
        if (stillNeeded) {
          return true;
        }
      }
    }
    return false;
  }

  /** Returns this host's work as news that tell all of it. */
  List<EngineNews> all() {
    List<EngineNews> all = new ArrayList<>();
    for (EngineJob job : own.values()) {
      all.add(new EngineNews.Placed(job));
      if (ownRead.contains(job.id())) {
        all.add(new EngineNews.Read(job.id()));
      }
    }
    return all;
  }

  /** Takes news of another daemon; {@code all} when they name all of its work. */
  void heard(HostIdentity from, List<EngineNews> news, boolean all, long nowMs) {
    if (all) {
      heardAll(from, news, nowMs);
    } else {
      news.forEach(one -> heard(from, one, nowMs));
    }
  }

  /** Takes one piece of news of another daemon. */
  void heard(HostIdentity from, EngineNews news, long nowMs) {
    Map<Long, EngineJob> jobs = jobsOf(from);
    if (news instanceof EngineNews.Placed placed) {
      EngineJob job = placed.job();
      EndpointState state = endpoints.state(job.endpoint());
      if (state != null) {
        // Also what was heard before: an endpoint that was missing for a while begins without work.
        jobs.putIfAbsent(job.id(), job);
        state.load().add(job, nowMs);
      }
    } else if (news instanceof EngineNews.Read read) {
      EngineJob job = jobs.get(read.id());
      if (job != null) {
        onLoad(job, load -> load.read(job.id(), nowMs));
      }
    } else if (news instanceof EngineNews.Ended ended) {
      heardEnded(jobs.remove(ended.id()), ended.failed(), nowMs);
    }
  }

  private Map<Long, EngineJob> jobsOf(HostIdentity daemon) {
    return others.computeIfAbsent(daemon, key -> new HashMap<>());
  }

  /** Lets an endpoint rest for a while. */
  void failed(HostIdentity endpoint, long nowMs) {
    endpoints.ifKnown(endpoint, state -> state.failed(nowMs));
  }

  private void heardEnded(EngineJob job, boolean failed, long nowMs) {
    if (job == null) {
      return;
    }
    EndpointState state = endpoints.state(job.endpoint());
    if (state == null) {
      return;
    }
    state.load().ended(job.id(), nowMs);
    if (failed) {
      state.failed(nowMs);
    }
  }

  /** Takes all the work of another daemon; what it does not name has ended. */
  void heardAll(HostIdentity from, Collection<EngineNews> all, long nowMs) {
    Set<Long> named = new HashSet<>();
    for (EngineNews news : all) {
      if (news instanceof EngineNews.Placed placed) {
        named.add(placed.job().id());
      }
    }
    Map<Long, EngineJob> jobs = jobsOf(from);
    for (EngineJob job : List.copyOf(jobs.values())) {
      if (!named.contains(job.id())) {
        heardEnded(jobs.remove(job.id()), false, nowMs);
      }
    }
    all.forEach(news -> heard(from, news, nowMs));
  }

  /** Takes note that another daemon is gone, and its work with it. */
  void gone(HostIdentity daemon, long nowMs) {
    Map<Long, EngineJob> jobs = others.remove(daemon);
    if (jobs != null) {
      jobs.values().forEach(job -> heardEnded(job, false, nowMs));
    }
  }
}
