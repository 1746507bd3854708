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
import org.fawndrum.coordination.engine.EngineUpdate;
import org.fawndrum.coordination.membership.FleetReport;
import org.fawndrum.state.EndpointKind;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.LatencyTargets;

/**
 * Tracks the work at every endpoint: this host's own work, which it broadcasts, and the work
 * broadcast by other daemons. Work at unknown endpoints is not counted, and updates about unknown
 * work have no effect. Confined to one thread; times are those of the host's clock, in
 * milliseconds.
 */
final class EngineWork {
  /** Number of low bits of a job id that count; the bits above them identify the daemon. */
  private static final int COUNT_BITS = 32;

  private final EndpointRegistry endpoints;
  private final List<Action> actions;
  private final Map<Long, EngineJob> ownJobs = new HashMap<>();
  private final Set<Long> prefilledJobs = new HashSet<>();
  private final Map<HostIdentity, Map<Long, EngineJob>> jobsByPeer = new HashMap<>();
  private long nextId;

  EngineWork(HostIdentity self, EndpointRegistry endpoints, List<Action> actions) {
    this.endpoints = endpoints;
    this.actions = actions;
    this.nextId = (long) self.hashCode() << COUNT_BITS;
  }

  /** Records an attempt that is sent now, with one job at each participating engine. */
  void attemptPlaced(
      OpenRequest.Attempt attempt, RequestFacts facts, Placement.Choice choice, long nowMs) {
    int engines = 1 + choice.helpers().size();
    long helperMemory = choice.helpers().stream().mapToLong(Placement.Helper::memoryTokens).sum();
    long memory = facts.promptTokens() == 0 ? 0 : facts.workTokens() - helperMemory;
    add(attempt, job(choice.state(), facts, memory, engines, true, nowMs), nowMs);
    for (Placement.Helper helper : choice.helpers()) {
      EngineJob job = job(helper.state(), facts, helper.memoryTokens(), engines, false, nowMs);
      add(attempt, job, nowMs);
    }
  }

  private EngineJob job(
      EndpointState state,
      RequestFacts facts,
      long memory,
      int engines,
      boolean decodes,
      long nowMs) {
    HostIdentity endpoint = state.endpoint().identity();
    LatencyTargets remainingTargets =
        facts.latencyTargets().remainingAfter(nowMs - facts.arrivedMs());
    return new EngineJob(
        nextId++,
        endpoint,
        facts.promptTokens(),
        memory,
        engines,
        decodes,
        remainingTargets,
        nowMs);
  }

  private void add(OpenRequest.Attempt attempt, EngineJob job, long nowMs) {
    attempt.jobIds.add(job.id());
    ownJobs.put(job.id(), job);
    updateLoad(job, load -> load.add(job, nowMs));
    broadcast(job, new EngineUpdate.Placed(job));
  }

  /** Records that the prompt of an attempt has been prefilled. */
  void prefilled(OpenRequest.Attempt attempt, long nowMs) {
    for (long id : attempt.jobIds) {
      EngineJob job = ownJobs.get(id);
      if (job != null && prefilledJobs.add(id)) {
        updateLoad(job, load -> load.recordFirstToken(id, nowMs));
        broadcast(job, new EngineUpdate.Prefilled(id));
      }
    }
  }

  /**
   * Records the end of an attempt.
   *
   * @param failed whether its endpoint seems to be the cause
   */
  void attemptEnded(OpenRequest.Attempt attempt, boolean failed, long nowMs) {
    for (long id : attempt.jobIds) {
      EngineJob job = ownJobs.remove(id);
      prefilledJobs.remove(id);
      if (job != null) {
        updateLoad(job, load -> load.remove(id, nowMs));
        boolean atFault =
            attempt.failedHelper == null
                ? failed && job.decodes()
                : job.endpoint().equals(attempt.failedHelper);
        broadcast(job, new EngineUpdate.Completed(id, atFault));
      }
    }
  }

  private void broadcast(EngineJob job, EngineUpdate update) {
    EndpointState state = endpoints.state(job.endpoint());
    boolean engine = state != null && state.endpoint().kind() == EndpointKind.MODEL;
    actions.add(
        new Action.BroadcastWork(update, engine ? state.endpoint().zone() : FleetReport.ALL_ZONES));
  }

  /** Changes the load of a job's endpoint, if the endpoint is registered. */
  private void updateLoad(EngineJob job, Consumer<EngineLoad> change) {
    endpoints.ifPresent(job.endpoint(), state -> change.accept(state.load()));
  }

  /**
   * Whether an attempt depends on one of the given endpoint incarnations: one that generates its
   * answer, holds memory for it, or has not finished prefilling its prompt segment. Once an answer
   * has begun, its endpoint's incarnation is not a reason: the answer may come from a later
   * incarnation than the one known when the attempt was sent. If that one terminates, the
   * connection breaks or stalls.
   */
  boolean dependsOn(OpenRequest.Attempt attempt, Predicate<HostIdentity> incarnations) {
    HostIdentity endpoint = attempt.endpoint.endpoint().identity();
    if (attempt.state == AttemptState.RUNNING && incarnations.test(endpoint)) {
      return false;
    }
    for (long id : attempt.jobIds) {
      EngineJob job = ownJobs.get(id);
      if (job != null && incarnations.test(job.endpoint())) {
        boolean stillNeeded =
            job.decodes() || job.memoryTokens() > 0 || !prefilledJobs.contains(id);
        if (stillNeeded) {
          return true;
        }
      }
    }
    return false;
  }

  /** Returns updates that describe all work of this host. */
  List<EngineUpdate> allUpdates() {
    List<EngineUpdate> updates = new ArrayList<>();
    for (EngineJob job : ownJobs.values()) {
      updates.add(new EngineUpdate.Placed(job));
      if (prefilledJobs.contains(job.id())) {
        updates.add(new EngineUpdate.Prefilled(job.id()));
      }
    }
    return updates;
  }

  /** Applies updates of another daemon. If {@code complete} is set they contain all its work. */
  void applyUpdate(HostIdentity from, List<EngineUpdate> updates, boolean complete, long nowMs) {
    if (complete) {
      replaceAll(from, updates, nowMs);
    } else {
      updates.forEach(update -> applyUpdate(from, update, nowMs));
    }
  }

  /** Applies one update of another daemon. */
  void applyUpdate(HostIdentity from, EngineUpdate update, long nowMs) {
    Map<Long, EngineJob> jobs = jobsOf(from);
    if (update instanceof EngineUpdate.Placed placed) {
      EngineJob job = placed.job();
      EndpointState state = endpoints.state(job.endpoint());
      if (state != null) {
        // Also for a known job: an endpoint that reappears in the list starts without its load.
        jobs.putIfAbsent(job.id(), job);
        state.load().add(job, nowMs);
      }
    } else if (update instanceof EngineUpdate.Prefilled prefilled) {
      EngineJob job = jobs.get(prefilled.id());
      if (job != null) {
        updateLoad(job, load -> load.recordFirstToken(job.id(), nowMs));
      }
    } else if (update instanceof EngineUpdate.Completed completed) {
      removeJob(jobs.remove(completed.id()), completed.failed(), nowMs);
    }
  }

  private Map<Long, EngineJob> jobsOf(HostIdentity daemon) {
    return jobsByPeer.computeIfAbsent(daemon, key -> new HashMap<>());
  }

  /** Starts the failure backoff of an endpoint. */
  void endpointFailed(HostIdentity endpoint, long nowMs) {
    endpoints.ifPresent(endpoint, state -> state.recordFailure(nowMs));
  }

  private void removeJob(EngineJob job, boolean failed, long nowMs) {
    if (job == null) {
      return;
    }
    EndpointState state = endpoints.state(job.endpoint());
    if (state == null) {
      return;
    }
    state.load().remove(job.id(), nowMs);
    if (failed) {
      state.recordFailure(nowMs);
    }
  }

  /** Replaces all work of another daemon. Jobs that are missing in the updates have ended. */
  void replaceAll(HostIdentity from, Collection<EngineUpdate> updates, long nowMs) {
    Set<Long> namedIds = new HashSet<>();
    for (EngineUpdate update : updates) {
      if (update instanceof EngineUpdate.Placed placed) {
        namedIds.add(placed.job().id());
      }
    }
    Map<Long, EngineJob> jobs = jobsOf(from);
    for (EngineJob job : List.copyOf(jobs.values())) {
      if (!namedIds.contains(job.id())) {
        removeJob(jobs.remove(job.id()), false, nowMs);
      }
    }
    updates.forEach(update -> applyUpdate(from, update, nowMs));
  }

  /** Records that another daemon is gone and removes its work. */
  void daemonRemoved(HostIdentity daemon, long nowMs) {
    Map<Long, EngineJob> jobs = jobsByPeer.remove(daemon);
    if (jobs != null) {
      jobs.values().forEach(job -> removeJob(job, false, nowMs));
    }
  }
}
