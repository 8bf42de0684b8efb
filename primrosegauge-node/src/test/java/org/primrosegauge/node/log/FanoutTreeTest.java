package org.primrosegauge.node.log;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.primrosegauge.core.InstanceId;

class FanoutTreeTest {

  @ParameterizedTest
  @CsvSource({"3, 9, 1", "7, 63, 2", "3, 63, 3", "1, 2, 1"})
  void fanoutAndDepthAreBounded(int voters, int instances, int depth) {
    List<InstanceId> all =
        IntStream.range(0, instances).mapToObj(i -> new InstanceId("i" + i)).toList();
    FanoutTree tree = FanoutTree.of(all.subList(0, voters), all);
    for (InstanceId instance : all) {
      assertThat(tree.followers().stream().map(tree::parent).filter(instance::equals).count())
          .isAtMost(FanoutTree.FANOUT);
      assertThat(steps(tree, instance)).isAtMost(depth);
    }
  }

  private static int steps(FanoutTree tree, InstanceId instance) {
    int steps = 0;
    InstanceId current = instance;
    while (!tree.voters().contains(current)) {
      current = tree.parent(current);
      steps++;
    }
    return steps;
  }
}
