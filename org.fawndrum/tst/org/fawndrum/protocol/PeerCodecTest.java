// SPDX-License-Identifier: Apache-2.0
package org.fawndrum.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fawndrum.coordination.membership.PeerFacts;
import org.fawndrum.errors.BadPeerFrameException;
import org.fawndrum.errors.BadSnapshotException;
import org.fawndrum.errors.RecordUnreadableException;
import org.fawndrum.protocol.wire.PeerMessage;
import org.fawndrum.protocol.wire.SnapshotRecord;
import org.fawndrum.state.CallerGroup;
import org.fawndrum.state.Cell;
import org.fawndrum.state.CellKey;
import org.fawndrum.state.Column;
import org.fawndrum.state.HostAddress;
import org.fawndrum.state.HostIdentity;
import org.fawndrum.state.TableRevision;
import org.fawndrum.state.TableRevisionBuilder;
import org.junit.jupiter.api.Test;

/** For any input, the decoders return a message or throw a typed exception. */
class PeerCodecTest {
  private static final HostIdentity SELF = new HostIdentity("a", 7);

  private static PeerFacts facts() {
    return new PeerFacts(SELF, "z", new HostAddress("127.0.0.1", 9), 3, 4, 5, 6, true, 8, 9);
  }

  @Property(tries = 5_000, seed = "51")
  void anyBytesYieldAMessageOrATypedException(@ForAll byte[] bytes) {
    try {
      PeerCodec.read(bytes);
    } catch (BadPeerFrameException expected) {
      assertEquals(false, expected.getMessage().isEmpty());
    }
    try {
      LogCodec.read(0, bytes);
    } catch (RecordUnreadableException expected) {
      assertEquals(false, expected.getMessage().isEmpty());
    }
  }

  @Property(tries = 5_000, seed = "52")
  void corruptedMessageYieldsAMessageOrATypedException(@ForAll long seed) {
    Random random = new Random(seed);
    byte[] bytes =
        PeerCodec.newMessage(SELF).setHeartbeat(PeerCodec.heartbeat(facts())).build().toByteArray();
    bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
    try {
      PeerMessage message = PeerCodec.read(bytes);
      PeerCodec.facts(PeerCodec.sender(message), message.getHeartbeat());
    } catch (BadPeerFrameException expected) {
      assertEquals(false, expected.getMessage().isEmpty());
    }
  }

  @Property(tries = 2_000, seed = "53")
  void corruptedSnapshotNeverYieldsAnotherTable(@ForAll long seed) {
    Random random = new Random(seed);
    CellKey key = new CellKey(new CallerGroup("w", "c"), Column.SHARE);
    TableRevision table = new TableRevisionBuilder(3, 9).cell(key, new Cell("5", 3, "ana")).build();
    byte[] bytes = SnapshotCodec.encode(table).toByteArray();
    int index = random.nextInt(bytes.length);
    bytes[index] ^= (byte) (1 + random.nextInt(255));
    try {
      assertEquals(table, SnapshotCodec.decode(SnapshotRecord.parseFrom(bytes)));
    } catch (InvalidProtocolBufferException | BadSnapshotException expected) {
      assertEquals(false, expected.getMessage().isEmpty());
    }
  }

  @Test
  void heartbeatRoundTrips() {
    byte[] bytes =
        PeerCodec.newMessage(SELF).setHeartbeat(PeerCodec.heartbeat(facts())).build().toByteArray();
    PeerMessage read = PeerCodec.read(bytes);
    assertEquals(facts(), PeerCodec.facts(PeerCodec.sender(read), read.getHeartbeat()));
  }

  @Test
  void messageWithoutSenderIsIncomplete() {
    byte[] bytes = PeerMessage.newBuilder().setExchange(4).build().toByteArray();
    BadPeerFrameException failure =
        assertThrows(BadPeerFrameException.class, () -> PeerCodec.read(bytes));
    assertEquals(BadPeerFrameException.Fault.INCOMPLETE, failure.fault());
  }
}
