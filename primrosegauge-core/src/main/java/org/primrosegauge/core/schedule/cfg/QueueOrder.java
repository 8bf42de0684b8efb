package org.primrosegauge.core.schedule.cfg;

/**
 * Decides which waiting job comes first.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface QueueOrder {

  /** First in, first out. */
  QueueOrder FIFO = job -> 0;

  /** Shortest declared run time first; jobs that declare none come last. */
  QueueOrder SHORTEST_DECLARED =
      job -> job.declaredMillis() == 0 ? Long.MAX_VALUE : job.declaredMillis();

  /**
   * Returns the rank of a job when it enters the queue. The lowest comes first; equal ranks go by
   * the time of submission.
   *
   * @since 0.1
   */
  long rank(QueuedJob job);

  /**
   * Returns least-attained-service order with levels (Tiresias, NSDI 2019): each level spans ten
   * times the service of the one before.
   *
   * @param firstLevel accelerator-milliseconds of the first level
   * @since 0.1
   */
  static QueueOrder leastAttained(long firstLevel) {
    return job -> level(job.attainedService(), firstLevel);
  }

  /**
   * Returns the same order by run time alone, which does not put gangs back for their size.
   *
   * @param firstLevel milliseconds of the first level
   * @since 0.1
   */
  static QueueOrder leastRunTime(long firstLevel) {
    return job -> level(job.attainedMillis(), firstLevel);
  }

  private static long level(long attained, long firstLevel) {
    long level = 0;
    for (long limit = firstLevel; attained >= limit; limit *= LEVEL_FACTOR) {
      level++;
    }
    return level;
  }

  /** Service of a level in proportion to the one before. */
  int LEVEL_FACTOR = 10;
}
