package org.primrosegauge.core.site;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.RegionId;

class ShapePackingTest {

  @ParameterizedTest
  @CsvSource({
    "1, 48, RACK, true",
    "2, 32, RACK, true",
    "3, 32, RACK, false",
    "10, 8, WORKER, true",
    "11, 8, WORKER, false",
    "1, 80, DOMAIN, true",
    "1, 81, DOMAIN, false"
  })
  void packsIntoRacksOfSixAndFour(int blocks, int size, Adjacency adjacency, boolean expected) {
    FailureDomain klang = domain(10, 6, 8);

    assertThat(ShapePacking.fits(klang, List.of(new BlockShape(blocks, size, adjacency))))
        .isEqualTo(expected);
  }

  @Property(seed = "4101", tries = 3_000)
  void isExactForDivisibleSizes(
      @ForAll @IntRange(min = 1, max = 4) int workers,
      @ForAll @IntRange(min = 1, max = 3) int workersPerRack,
      @ForAll("divisibleShapes") @Size(max = 4) List<BlockShape> shapes) {
    FailureDomain domain = domain(workers, workersPerRack, 4);

    assertThat(ShapePacking.fits(domain, shapes)).isEqualTo(fitsExhaustively(domain, shapes));
  }

  @Property(seed = "4102", tries = 3_000)
  void neverAcceptsInfeasibleShapes(
      @ForAll @IntRange(min = 1, max = 4) int workers,
      @ForAll @IntRange(min = 1, max = 3) int workersPerRack,
      @ForAll("anyShapes") @Size(max = 4) List<BlockShape> shapes) {
    FailureDomain domain = domain(workers, workersPerRack, 5);

    if (ShapePacking.fits(domain, shapes)) {
      assertThat(fitsExhaustively(domain, shapes)).isTrue();
    }
  }

  @Provide
  Arbitrary<List<BlockShape>> divisibleShapes() {
    return shapes(Arbitraries.of(1, 2, 4, 8)).list();
  }

  @Provide
  Arbitrary<List<BlockShape>> anyShapes() {
    return shapes(Arbitraries.integers().between(1, 9)).list();
  }

  private static Arbitrary<BlockShape> shapes(Arbitrary<Integer> sizes) {
    return Combinators.combine(
            Arbitraries.integers().between(1, 2), sizes, Arbitraries.of(Adjacency.class))
        .as(BlockShape::new)
        .filter(shape -> shape.adjacency() != Adjacency.WORKER || shape.acceleratorsPerBlock() < 5);
  }

  /** Reference implementation: tries every placement of worker blocks and rack blocks. */
  private static boolean fitsExhaustively(FailureDomain domain, List<BlockShape> shapes) {
    List<BlockShape> blocks = new ArrayList<>();
    for (BlockShape shape : shapes) {
      BlockShape singleBlock = new BlockShape(1, shape.acceleratorsPerBlock(), shape.adjacency());
      blocks.addAll(Collections.nCopies(shape.blocks(), singleBlock));
    }
    int[] freeByWorker = new int[domain.workers()];
    java.util.Arrays.fill(freeByWorker, domain.acceleratorsPerWorker());
    int racks = (domain.workers() - 1) / domain.workersPerRack() + 1;
    return searchPlacements(domain, blocks, 0, freeByWorker, new int[racks]);
  }

  private static boolean searchPlacements(
      FailureDomain domain,
      List<BlockShape> blocks,
      int index,
      int[] freeByWorker,
      int[] usedByRack) {
    if (index == blocks.size()) {
      return isFeasible(domain, blocks, freeByWorker, usedByRack);
    }
    int size = blocks.get(index).acceleratorsPerBlock();
    int[] candidates =
        switch (blocks.get(index).adjacency()) {
          case WORKER -> freeByWorker;
          case RACK -> usedByRack;
          case DOMAIN -> new int[1];
        };
    int delta = candidates == usedByRack ? size : -size;
    for (int candidate = 0; candidate < candidates.length; candidate++) {
      candidates[candidate] += delta;
      boolean found =
          (candidates != freeByWorker || freeByWorker[candidate] >= 0)
              && searchPlacements(domain, blocks, index + 1, freeByWorker, usedByRack);
      candidates[candidate] -= delta;
      if (found) {
        return true;
      }
    }
    return false;
  }

  private static boolean isFeasible(
      FailureDomain domain, List<BlockShape> blocks, int[] freeByWorker, int[] usedByRack) {
    int[] freeByRack = new int[usedByRack.length];
    for (int worker = 0; worker < freeByWorker.length; worker++) {
      freeByRack[worker / domain.workersPerRack()] += freeByWorker[worker];
    }
    int total = 0;
    for (int rack = 0; rack < freeByRack.length; rack++) {
      if (usedByRack[rack] > freeByRack[rack]) {
        return false;
      }
      total += freeByRack[rack] - usedByRack[rack];
    }
    int domainDemand =
        blocks.stream()
            .filter(block -> block.adjacency() == Adjacency.DOMAIN)
            .mapToInt(BlockShape::accelerators)
            .sum();
    return domainDemand <= total;
  }

  private static FailureDomain domain(int workers, int workersPerRack, int accelerators) {
    return new FailureDomain(
        new FailureDomainId("klang"),
        new RegionId("semenanjung"),
        workers,
        workersPerRack,
        accelerators,
        64,
        256_000);
  }
}
