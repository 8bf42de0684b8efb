package org.primrosegauge.core.schedule.impl;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.primrosegauge.core.site.Adjacency;

/** The packer against an exhaustive version that tries every position of every piece. */
class ShapePackerTest {

  private static final int WHOLE = 4;

  @Property(seed = "4101", tries = 3_000)
  void findsPackingExactlyWhenOneExists(
      @ForAll @Size(min = 1, max = 5) List<@IntRange(min = 0, max = WHOLE) Integer> rooms,
      @ForAll @IntRange(min = 1, max = 3) int perRack,
      @ForAll("blocks") List<Block> blocks) {
    int[] room = rooms.stream().mapToInt(Integer::intValue).toArray();
    int[] rackOf = new int[room.length];
    Arrays.setAll(rackOf, i -> i / perRack);

    ShapePacker.Packing packing = new ShapePacker(room, rackOf, WHOLE).pack(blocks);

    assertThat(packing.missing().isEmpty())
        .isEqualTo(isPackable(room.clone(), rackOf, pieces(blocks), 0, new int[blocks.size()]));
    assertThat(packing.placed().size() + packing.missing().size()).isEqualTo(blocks.size());
    checkPositions(packing, room, rackOf);
  }

  private static void checkPositions(ShapePacker.Packing packing, int[] room, int[] rackOf) {
    int[] left = room.clone();
    for (ShapePacker.Placed placed : packing.placed()) {
      int[] sizes = placed.block().pieces(WHOLE);
      for (int i = 0; i < sizes.length; i++) {
        left[placed.workers()[i]] -= sizes[i];
        if (placed.block().adjacency() == Adjacency.RACK) {
          assertThat(rackOf[placed.workers()[i]]).isEqualTo(rackOf[placed.workers()[0]]);
        }
      }
    }
    for (int rest : left) {
      assertThat(rest).isAtLeast(0);
    }
  }

  record Piece(int block, int size, boolean rackBound) {}

  static List<Piece> pieces(List<Block> blocks) {
    List<Piece> pieces = new ArrayList<>();
    for (int i = 0; i < blocks.size(); i++) {
      for (int size : blocks.get(i).pieces(WHOLE)) {
        pieces.add(new Piece(i, size, blocks.get(i).adjacency() == Adjacency.RACK));
      }
    }
    return pieces;
  }

  static boolean isPackable(
      int[] room, int[] rackOf, List<Piece> pieces, int at, int[] rackChosen) {
    if (at == pieces.size()) {
      return true;
    }
    Piece piece = pieces.get(at);
    for (int i = 0; i < room.length; i++) {
      boolean rackFits =
          !piece.rackBound()
              || rackChosen[piece.block()] == 0
              || rackChosen[piece.block()] == rackOf[i] + 1;
      if (room[i] < piece.size() || !rackFits) {
        continue;
      }
      final int before = rackChosen[piece.block()];
      room[i] -= piece.size();
      rackChosen[piece.block()] = rackOf[i] + 1;
      boolean packable = isPackable(room, rackOf, pieces, at + 1, rackChosen);
      room[i] += piece.size();
      rackChosen[piece.block()] = before;
      if (packable) {
        return true;
      }
    }
    return false;
  }

  @Provide
  Arbitrary<List<Block>> blocks() {
    Arbitrary<Block> rack =
        Combinators.combine(
                Arbitraries.integers().between(1, 2 * WHOLE),
                Arbitraries.of(Adjacency.RACK, Adjacency.DOMAIN))
            .as(Block::new);
    Arbitrary<Block> worker =
        Arbitraries.integers().between(1, WHOLE).map(size -> new Block(size, Adjacency.WORKER));
    return Arbitraries.oneOf(rack, worker).list().ofMinSize(1).ofMaxSize(4);
  }
}
