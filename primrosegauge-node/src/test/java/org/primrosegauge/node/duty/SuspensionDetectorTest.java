package org.primrosegauge.node.duty;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a suspension that is not noticed, and against a wait that is taken for one. */
class SuspensionDetectorTest {

  private long monotonicMillis = 1_000;
  private long wallMillis = 1_000_000;
  private long waitMillis;

  private final SuspensionDetector detector =
      new SuspensionDetector(
          () -> monotonicMillis,
          () -> {
            long reading = wallMillis;
            monotonicMillis += waitMillis;
            wallMillis += waitMillis;
            return reading;
          });

  @ParameterizedTest
  @CsvSource({
    "50, 50, false",
    "50, 149, false",
    "50, 150, true",
    "50, 6050, true",
    "50, -2350, false",
    "5000, 5000, false"
  })
  void onlyWallClockThatRunsAheadIsSuspension(
      long passedMillis, long wallPassedMillis, boolean isSuspension) {
    assertThat(detector.wasSuspended()).isFalse();
    monotonicMillis += passedMillis;
    wallMillis += wallPassedMillis;
    assertThat(detector.wasSuspended()).isEqualTo(isSuspension);
    assertThat(detector.wasSuspended()).isFalse();
  }

  @ParameterizedTest
  @CsvSource({"21", "400", "5000"})
  void waitBetweenReadingsIsNoSuspension(long betweenMillis) {
    assertThat(detector.wasSuspended()).isFalse();
    waitMillis = betweenMillis;
    assertThat(detector.wasSuspended()).isFalse();
    waitMillis = 0;
    assertThat(detector.wasSuspended()).isFalse();
  }
}
