// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import org.fawndrum.coordination.membership.PeerFacts;
import org.fawndrum.coordination.once.ClaimAnswer;
import org.fawndrum.coordination.once.ClaimKey;
import org.fawndrum.coordination.once.OnceLedger;
import org.fawndrum.errors.BadPeerFrameException;
import org.fawndrum.errors.BadPeerFrameException.Fault;
import org.fawndrum.protocol.wire.ClaimReply;
import org.fawndrum.protocol.wire.Heartbeat;
import org.fawndrum.protocol.wire.LedgerEntry;
import org.fawndrum.protocol.wire.LedgerHandover;
import org.fawndrum.protocol.wire.PeerMessage;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;

/** Reads and writes the messages between daemons. */
public final class PeerCodec {
  /** The largest message, in bytes: a snapshot of 10,000 rows fits. */
  public static final int LARGEST = 16 << 20;

  private PeerCodec() {}

  /**
   * Reads a message.
   *
   * @throws BadPeerFrameException if the bytes are no message, or one without sender or body
   */
  public static PeerMessage read(byte[] bytes) {
    PeerMessage message;
    try {
      message = PeerMessage.parseFrom(bytes);
    } catch (InvalidProtocolBufferException e) {
      throw new BadPeerFrameException(Fault.CONTENT, e);
    }
    boolean complete =
        !message.getFromHost().isEmpty()
            && message.getBodyCase() != PeerMessage.BodyCase.BODY_NOT_SET;
    if (!complete) {
      throw new BadPeerFrameException(Fault.INCOMPLETE, null);
    }
    return message;
  }

  /** Begins a message of a sender. */
  public static PeerMessage.Builder from(HostIdentity sender) {
    return PeerMessage.newBuilder()
        .setFromHost(sender.host())
        .setFromIncarnation(sender.incarnation());
  }

  /** Returns the sender of a message. */
  public static HostIdentity sender(PeerMessage message) {
    return new HostIdentity(message.getFromHost(), message.getFromIncarnation());
  }

  /** Returns a heartbeat that tells facts. */
  public static Heartbeat.Builder heartbeat(PeerFacts facts) {
    return Heartbeat.newBuilder()
        .setZone(facts.zone())
        .setPeerIp(facts.address().ip())
        .setPeerPort(facts.address().port())
        .setSequence(facts.sequence())
        .setTableRevision(facts.tableRevision())
        .setTablePosition(facts.tablePosition())
        .setListingVersion(facts.listingVersion())
        .setDraining(facts.draining())
        .setWaitingTokens(facts.waitingTokens())
        .setRunningRequests(facts.runningRequests());
  }

  /** Returns the facts that a heartbeat tells. */
  public static PeerFacts facts(HostIdentity sender, Heartbeat heartbeat) {
    return new PeerFacts(
        sender,
        heartbeat.getZone(),
        new HostAddress(heartbeat.getPeerIp(), heartbeat.getPeerPort()),
        heartbeat.getSequence(),
        heartbeat.getTableRevision(),
        heartbeat.getTablePosition(),
        heartbeat.getListingVersion(),
        heartbeat.getDraining(),
        heartbeat.getWaitingTokens(),
        heartbeat.getRunningRequests());
  }

  /** Returns a claim's answer as a message. */
  public static ClaimReply claimReply(ClaimAnswer answer) {
    ClaimReply.Answer wire =
        switch (answer) {
          case FREE -> ClaimReply.Answer.FREE;
          case RAN -> ClaimReply.Answer.RAN;
          default -> ClaimReply.Answer.HELD;
        };
    return ClaimReply.newBuilder().setAnswer(wire).build();
  }

  /** Returns the answer in a message; an unknown one counts as held, which is always safe. */
  public static ClaimAnswer claimAnswer(ClaimReply reply) {
    return switch (reply.getAnswer()) {
      case FREE -> ClaimAnswer.FREE;
      case RAN -> ClaimAnswer.RAN;
      default -> ClaimAnswer.HELD;
    };
  }

  /** Returns the keys of a stopping host as a message; ages are told because clocks differ. */
  public static LedgerHandover handover(List<OnceLedger.Inherited> handed, long nowMs) {
    LedgerHandover.Builder message = LedgerHandover.newBuilder();
    for (OnceLedger.Inherited one : handed) {
      message.addEntries(
          LedgerEntry.newBuilder()
              .setKey(one.key().toString())
              .setRan(one.state() == OnceLedger.State.RAN)
              .setAgeMs(nowMs - one.changedMs()));
    }
    return message.build();
  }

  /** Returns the keys in a message; entries whose key cannot be read are left out. */
  public static List<OnceLedger.Inherited> inherited(LedgerHandover message, long nowMs) {
    List<OnceLedger.Inherited> handed = new ArrayList<>();
    for (LedgerEntry entry : message.getEntriesList()) {
      ClaimKey key = ClaimKey.parse(entry.getKey());
      if (key != null) {
        OnceLedger.State state = entry.getRan() ? OnceLedger.State.RAN : OnceLedger.State.UNKNOWN;
        handed.add(new OnceLedger.Inherited(key, state, nowMs - entry.getAgeMs()));
      }
    }
    return handed;
  }
}
