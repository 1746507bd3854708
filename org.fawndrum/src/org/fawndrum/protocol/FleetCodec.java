// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.fawndrum.coordination.engine.EngineJob;
import org.fawndrum.coordination.engine.EngineNews;
import org.fawndrum.protocol.wire.FleetNews;
import org.fawndrum.protocol.wire.WorkPlaced;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.RequestAims;

/** Reads and writes what daemons tell each other about their work at endpoints. */
public final class FleetCodec {
  private FleetCodec() {}

  /** Adds news to a message; times are written as ages, because clocks differ. */
  public static void write(FleetNews.Builder message, Collection<EngineNews> news, long nowMs) {
    for (EngineNews one : news) {
      if (one instanceof EngineNews.Placed placed) {
        message.addPlaced(placed(placed.job(), nowMs));
      } else if (one instanceof EngineNews.Read read) {
        message.addRead(read.id());
      } else if (one instanceof EngineNews.Ended ended && ended.failed()) {
        message.addFailed(ended.id());
      } else if (one instanceof EngineNews.Ended ended) {
        message.addEnded(ended.id());
      }
    }
  }

  private static WorkPlaced placed(EngineJob job, long nowMs) {
    return WorkPlaced.newBuilder()
        .setId(job.id())
        .setEndpoint(job.endpoint().host())
        .setEndpointIncarnation(job.endpoint().incarnation())
        .setPromptTokens(job.promptTokens())
        .setMemoryTokens(job.memoryTokens())
        .setParts(job.parts())
        .setWrites(job.writes())
        .setFirstTokenAimMs(job.aims().firstTokenMs())
        .setPauseAimMs(job.aims().pauseMs())
        .setAgeMs(nowMs - job.sentMs())
        .build();
  }

  /** Returns the news of a message, in an order in which each can be understood. */
  public static List<EngineNews> read(FleetNews message, long nowMs) {
    List<EngineNews> news = new ArrayList<>();
    for (WorkPlaced one : message.getPlacedList()) {
      news.add(new EngineNews.Placed(job(one, nowMs)));
    }
    message.getReadList().forEach(id -> news.add(new EngineNews.Read(id)));
    message.getEndedList().forEach(id -> news.add(new EngineNews.Ended(id, false)));
    message.getFailedList().forEach(id -> news.add(new EngineNews.Ended(id, true)));
    return news;
  }

  private static EngineJob job(WorkPlaced one, long nowMs) {
    return new EngineJob(
        one.getId(),
        new HostIdentity(one.getEndpoint(), one.getEndpointIncarnation()),
        one.getPromptTokens(),
        one.getMemoryTokens(),
        Math.max(1, one.getParts()),
        one.getWrites(),
        new RequestAims(one.getFirstTokenAimMs(), one.getPauseAimMs(), 0),
        nowMs - Math.max(0, one.getAgeMs()));
  }
}
