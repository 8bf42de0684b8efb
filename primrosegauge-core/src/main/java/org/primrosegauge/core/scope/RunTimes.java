package org.primrosegauge.core.scope;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Run times that the jobs of each queue were observed to take, compared with the declared ones.
 *
 * <p>Declared run times may be wrong by a large factor, while those of the jobs of one queue vary
 * much less. The expected time of a task follows from a linear regression of the logarithm of the
 * actual on that of the declared time. Each observation counts less with each later one of its
 * queue, so that the latest {@link #MEMORY} or so decide. Until a few have been made, the declared
 * time counts.
 *
 * <p>Part of the ledger and thus the same on all replicas; the logarithms are those of {@link
 * StrictMath}. Not thread-safe.
 *
 * @since 0.4
 */
public final class RunTimes {

  /** Number of observations after which one counts about a third of what it did. */
  private static final int MEMORY = 40;

  /** Number of observations that count as much as the declared time. */
  private static final double DECLARED_WEIGHT = 3;

  /** Shorter times than this say little about longer ones, in milliseconds. */
  private static final long MIN_MILLIS = 50;

  /** Observations of one queue. */
  private static final class Observations {

    private double weight;
    private double declaredMean;
    private double actualMean;
    private double declaredVariance;
    private double covariance;

    void add(double declared, double actual) {
      weight = weight * (1 - 1.0 / MEMORY) + 1;
      double share = 1 / weight;
      double declaredDelta = declared - declaredMean;
      double actualDelta = actual - actualMean;
      declaredMean += share * declaredDelta;
      actualMean += share * actualDelta;
      declaredVariance = (1 - share) * (declaredVariance + share * declaredDelta * declaredDelta);
      covariance = (1 - share) * (covariance + share * declaredDelta * actualDelta);
    }

    double expected(double declared) {
      double slope = declaredVariance > 0 ? covariance / declaredVariance : 0;
      double boundedSlope = Math.max(0, Math.min(1, slope));
      double observed = actualMean + boundedSlope * (declared - declaredMean);
      double share = weight / (weight + DECLARED_WEIGHT);
      return share * observed + (1 - share) * declared;
    }
  }

  /**
   * Observations of one queue, for snapshots.
   *
   * @param queue queue
   * @param weight sum of the weights of the observations
   * @param declaredMean mean logarithm of the declared time
   * @param actualMean mean logarithm of the actual time
   * @param declaredVariance variance of the logarithm of the declared time
   * @param covariance covariance of the two logarithms
   * @since 0.4
   */
  public record QueueState(
      QueueName queue,
      double weight,
      double declaredMean,
      double actualMean,
      double declaredVariance,
      double covariance) {}

  private final Map<QueueName, Observations> byQueue =
      new TreeMap<>(Comparator.comparing(QueueName::value));

  /**
   * Records how long a task took that ran undisturbed from its start to its end.
   *
   * @param declaredMillis declared run time, in milliseconds
   * @param actualMillis observed run time, in milliseconds
   */
  void record(QueueName queue, long declaredMillis, long actualMillis) {
    byQueue
        .computeIfAbsent(queue, name -> new Observations())
        .add(logarithm(declaredMillis), logarithm(actualMillis));
  }

  /**
   * Returns how long a task is expected to run, in milliseconds.
   *
   * @param declaredMillis declared run time, in milliseconds
   * @since 0.4
   */
  public long expectedMillis(QueueName queue, long declaredMillis) {
    Observations observations = byQueue.get(queue);
    return observations == null
        ? declaredMillis
        : (long) StrictMath.exp(observations.expected(logarithm(declaredMillis)));
  }

  private static double logarithm(long millis) {
    return StrictMath.log(Math.max(MIN_MILLIS, millis));
  }

  /** Returns the state of all queues, in the order of their names. */
  List<QueueState> snapshot() {
    return byQueue.entrySet().stream()
        .map(
            each ->
                new QueueState(
                    each.getKey(),
                    each.getValue().weight,
                    each.getValue().declaredMean,
                    each.getValue().actualMean,
                    each.getValue().declaredVariance,
                    each.getValue().covariance))
        .toList();
  }

  /** Replaces the whole state. */
  void restore(List<QueueState> states) {
    byQueue.clear();
    for (QueueState state : states) {
      Observations observations = new Observations();
      observations.weight = state.weight();
      observations.declaredMean = state.declaredMean();
      observations.actualMean = state.actualMean();
      observations.declaredVariance = state.declaredVariance();
      observations.covariance = state.covariance();
      byQueue.put(state.queue(), observations);
    }
  }
}
