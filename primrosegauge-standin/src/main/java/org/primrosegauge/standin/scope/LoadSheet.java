package org.primrosegauge.standin.scope;

import java.util.List;
import org.primrosegauge.core.scope.QueueName;

/**
 * Jobs of one kind that arrive at a large scope, as its users describe them.
 *
 * @param name name of the kind
 * @param priority priority of its queue; 0 is urgent
 * @param perSecond arrivals a second at {@link EmulatedLoad#SHEET_WORKERS} workers
 * @param burst how many times as many arrive in a burst
 * @param burstFromMillis when the burst begins, from the beginning of the load
 * @param burstMillis how long the burst lasts; 0 for none
 * @param steps mean number of steps, which run one after the other; 1 or a little more
 * @param tasks mean number of tasks of a step
 * @param mostTasks most tasks of a step
 * @param workMillis mean run time of a task, in milliseconds
 * @param milliCores cores of a task, in thousandths
 * @param memoryMib memory of a task, in MiB
 * @param accelerators accelerators of a task, each entry as likely as the others
 * @param gang whether the tasks of a step run only all together
 * @param rackLocalShare share of the gangs that are faster on one rack
 * @param dataRackShare share of the steps that have their data on one rack
 * @param savingShare share of the steps that save their progress
 * @param slackFactor objective as a multiple of the longest chain of work
 * @param latencyMillis what the objective adds to that, in milliseconds
 * @param maxAttempts failed runs of a task after which its job has failed
 * @since 0.3
 */
public record LoadSheet(
    String name,
    int priority,
    double perSecond,
    double burst,
    long burstFromMillis,
    long burstMillis,
    double steps,
    double tasks,
    int mostTasks,
    long workMillis,
    int milliCores,
    int memoryMib,
    List<Integer> accelerators,
    boolean gang,
    double rackLocalShare,
    double dataRackShare,
    double savingShare,
    double slackFactor,
    int latencyMillis,
    int maxAttempts) {

  private static final List<Integer> ANY_ACCELERATORS = List.of(1, 2, 4, 8, 8);

  /** Gangs of many cores, some near their data. */
  static final LoadSheet PLANS =
      new LoadSheet(
          "plans",
          1,
          1.51,
          1,
          0,
          0,
          1,
          13,
          78,
          6_800,
          26_000,
          75_000,
          ANY_ACCELERATORS,
          true,
          0.6,
          0.3,
          0.45,
          3.0,
          1_000,
          3);

  /** Urgent gangs of a few tasks, more than twice as many for six seconds. */
  static final LoadSheet TESTS =
      new LoadSheet(
          "tests",
          0,
          4.11,
          2.2,
          8_000,
          6_000,
          1,
          5,
          32,
          2_500,
          7_500,
          39_000,
          ANY_ACCELERATORS,
          true,
          0.8,
          0,
          0,
          1.5,
          300,
          3);

  /** Wide steps of small tasks, two and a half times as many for four seconds. */
  static final LoadSheet MATCHES =
      new LoadSheet(
          "matches",
          2,
          1.19,
          2.6,
          16_000,
          4_000,
          1.3,
          39,
          230,
          7_600,
          5_600,
          29_000,
          List.of(1),
          false,
          0,
          0.12,
          0.45,
          3.0,
          3_000,
          2);

  /** All kinds of a day. */
  static final List<LoadSheet> DAY = List.of(PLANS, TESTS, MATCHES);

  QueueName queue() {
    return new QueueName(name);
  }
}
