// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.List;
import org.fawndrum.coordination.membership.PeerFacts;
import org.fawndrum.coordination.once.CallRegistry;
import org.fawndrum.coordination.once.ClaimAnswer;
import org.fawndrum.coordination.once.ClaimKey;
import org.fawndrum.errors.BadPeerFrameException;
import org.fawndrum.errors.BadPeerFrameException.Fault;
import org.fawndrum.protocol.wire.ClaimReply;
import org.fawndrum.protocol.wire.Heartbeat;
import org.fawndrum.protocol.wire.LedgerEntry;
import org.fawndrum.protocol.wire.LedgerHandover;
import org.fawndrum.protocol.wire.PeerMessage;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;

/** Encodes and decodes the messages between daemons. */
public final class PeerCodec {
  /** Maximum size of a message, in bytes; large enough for a snapshot of 10,000 rows. */
  public static final int MAX_MESSAGE_BYTES = 16 << 20;

  private PeerCodec() {}

  /**
   * Decodes a message.
   *
   * @throws BadPeerFrameException if the bytes are not a valid message, or it lacks a sender or
   *     body
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

  /** Returns a builder for a message of the given sender. */
  public static PeerMessage.Builder newMessage(HostIdentity sender) {
    return PeerMessage.newBuilder()
        .setFromHost(sender.host())
        .setFromIncarnation(sender.incarnation());
  }

  /** Returns the sender of a message. */
  public static HostIdentity sender(PeerMessage message) {
    return new HostIdentity(message.getFromHost(), message.getFromIncarnation());
  }

  /** Encodes the state of this daemon in a heartbeat. */
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

  /** Decodes the state of a peer from its heartbeat. */
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

  /** Encodes the answer to a claim. */
  public static ClaimReply claimReply(ClaimAnswer answer) {
    ClaimReply.Answer wire =
        switch (answer) {
          case FREE -> ClaimReply.Answer.FREE;
          case RAN -> ClaimReply.Answer.RAN;
          default -> ClaimReply.Answer.HELD;
        };
    return ClaimReply.newBuilder().setAnswer(wire).build();
  }

  /** Decodes the answer to a claim; an unknown value counts as held, which is always safe. */
  public static ClaimAnswer claimAnswer(ClaimReply reply) {
    return switch (reply.getAnswer()) {
      case FREE -> ClaimAnswer.FREE;
      case RAN -> ClaimAnswer.RAN;
      default -> ClaimAnswer.HELD;
    };
  }

  /** Encodes the claim keys of a retiring host; times are sent as ages, because clocks differ. */
  public static LedgerHandover handover(List<CallRegistry.HandedOverKey> entries, long nowMs) {
    LedgerHandover.Builder message = LedgerHandover.newBuilder();
    for (CallRegistry.HandedOverKey entry : entries) {
      message.addEntries(
          LedgerEntry.newBuilder()
              .setKey(entry.key().toString())
              .setRan(entry.state() == CallRegistry.State.RAN)
              .setAgeMs(nowMs - entry.changedMs()));
    }
    return message.build();
  }

  /** Decodes handed-over claim keys; skips entries with a malformed key. */
  public static List<CallRegistry.HandedOverKey> handoverEntries(
      LedgerHandover message, long nowMs) {
    List<CallRegistry.HandedOverKey> entries = new ArrayList<>();
    for (LedgerEntry entry : message.getEntriesList()) {
      ClaimKey key = ClaimKey.parse(entry.getKey());
      if (key != null) {
        CallRegistry.State state =
            entry.getRan() ? CallRegistry.State.RAN : CallRegistry.State.UNKNOWN;
        entries.add(new CallRegistry.HandedOverKey(key, state, nowMs - entry.getAgeMs()));
      }
    }
    return entries;
  }
}
