package org.primrosegauge.core.log.cfg;

import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import org.primrosegauge.core.InstanceId;

/**
 * Settings of a replica of the log. Immutable.
 *
 * @param self instance of the replica
 * @param initialVoters instances that start the log together; the first of them to become a
 *     candidate starts it once all of them respond and have empty data folders
 * @param heartbeatMillis interval between heartbeats of the leader, in milliseconds
 * @param electionMinMillis minimum election timeout, in milliseconds; also the time for which a
 *     follower that heard from the leader withholds its vote
 * @param electionMaxMillis maximum election timeout, in milliseconds
 * @param clockDriftPercent upper bound of the difference between the clock rates of two instances,
 *     in percent; the lease of a leader is shorter than {@code electionMinMillis} by this
 *     percentage
 * @param maxBatchBytes maximum size of the entries in one message, in bytes
 * @param maxInFlightBytes maximum size of the entries in flight to one follower, in bytes
 * @param maxUncommittedBytes maximum size of the uncommitted entries, in bytes
 * @param snapshotChunkBytes maximum size of the snapshot chunk in one message, in bytes
 * @param trailingEntries number of entries before a snapshot that stay in memory for followers that
 *     lag slightly
 * @param trailingBytes maximum size of these entries, in bytes
 * @param automaticReadmission whether the leader adds a voter that came back with an empty disk to
 *     the log again, first as a learner
 * @param targetVoters number of voters up to which the leader promotes learners; 0 if only initial
 *     voters are promoted
 * @param voterLossMillis time without a reply after which a learner replaces a voter, in
 *     milliseconds; used only with {@code targetVoters}
 * @since 0.1
 */
public record LogSettings(
    InstanceId self,
    List<InstanceId> initialVoters,
    int heartbeatMillis,
    int electionMinMillis,
    int electionMaxMillis,
    int clockDriftPercent,
    int maxBatchBytes,
    int maxInFlightBytes,
    int maxUncommittedBytes,
    int snapshotChunkBytes,
    int trailingEntries,
    int trailingBytes,
    boolean automaticReadmission,
    int targetVoters,
    int voterLossMillis) {

  private static final int HEARTBEAT_MILLIS = 250;
  private static final int ELECTION_MIN_MILLIS = 1_000;
  private static final int ELECTION_MAX_MILLIS = 2_000;
  private static final int CLOCK_DRIFT_PERCENT = 10;
  private static final int MAX_BATCH_BYTES = 256 * 1024;
  private static final int MAX_IN_FLIGHT_BYTES = 1024 * 1024;
  private static final int MAX_UNCOMMITTED_BYTES = 8 * 1024 * 1024;
  private static final int SNAPSHOT_CHUNK_BYTES = 64 * 1024;
  private static final int TRAILING_ENTRIES = 1_000;
  private static final int TRAILING_BYTES = 4 * 1024 * 1024;
  private static final int VOTER_LOSS_MILLIS = 10_000;

  /** Checks the ranges and copies the list of voters. */
  public LogSettings {
    Objects.requireNonNull(self);
    initialVoters = List.copyOf(initialVoters);
    require(heartbeatMillis > 0, "heartbeatMillis");
    require(electionMinMillis > 2 * heartbeatMillis, "electionMinMillis");
    require(electionMaxMillis > electionMinMillis, "electionMaxMillis");
    require(clockDriftPercent >= 0 && clockDriftPercent < 50, "clockDriftPercent");
    require(maxBatchBytes > 0 && maxInFlightBytes > 0 && maxUncommittedBytes > 0, "max...Bytes");
    require(snapshotChunkBytes > 0, "snapshotChunkBytes");
    require(trailingEntries >= 0, "trailingEntries");
    require(trailingBytes >= 0, "trailingBytes");
  }

  /**
   * Returns the default settings, which suit a site whose instances are in a few failure domains.
   *
   * @since 0.1
   */
  public static LogSettings of(InstanceId self, List<InstanceId> initialVoters) {
    return new LogSettings(
        self,
        initialVoters,
        HEARTBEAT_MILLIS,
        ELECTION_MIN_MILLIS,
        ELECTION_MAX_MILLIS,
        CLOCK_DRIFT_PERCENT,
        MAX_BATCH_BYTES,
        MAX_IN_FLIGHT_BYTES,
        MAX_UNCOMMITTED_BYTES,
        SNAPSHOT_CHUNK_BYTES,
        TRAILING_ENTRIES,
        TRAILING_BYTES,
        true,
        0,
        VOTER_LOSS_MILLIS);
  }

  /**
   * Returns how long the lease of a leader lasts after contact with a quorum, in milliseconds.
   *
   * @since 0.1
   */
  public long leaseMillis() {
    return electionMinMillis * (100L - clockDriftPercent) / 100;
  }

  /**
   * Returns a copy with other heartbeat and election timings, in milliseconds.
   *
   * @since 0.1
   */
  public LogSettings withTimings(int heartbeat, int electionMin, int electionMax) {
    return copy()
        .set(b -> b.heartbeatMillis = heartbeat)
        .set(b -> b.electionMinMillis = electionMin)
        .set(b -> b.electionMaxMillis = electionMax)
        .build();
  }

  /**
   * Returns a copy with other limits for messages, data in flight and retained entries.
   *
   * @since 0.1
   */
  public LogSettings withTransferLimits(
      int batchBytes, int inFlightBytes, int chunkBytes, int trailing) {
    return copy()
        .set(b -> b.maxBatchBytes = batchBytes)
        .set(b -> b.maxInFlightBytes = inFlightBytes)
        .set(b -> b.snapshotChunkBytes = chunkBytes)
        .set(b -> b.trailingEntries = trailing)
        .build();
  }

  /**
   * Returns a copy with automatic readmission of voters with an empty disk enabled or disabled.
   *
   * @since 0.1
   */
  public LogSettings withAutomaticReadmission(boolean enabled) {
    return copy().set(b -> b.automaticReadmission = enabled).build();
  }

  /**
   * Returns a copy in which the leader maintains a number of voters: it promotes learners up to
   * that number and replaces unresponsive voters.
   *
   * @param target number of voters
   * @param lossMillis time without a reply after which a voter is replaced, in milliseconds
   * @since 0.2
   */
  public LogSettings withTargetVoters(int target, int lossMillis) {
    return copy()
        .set(b -> b.targetVoters = target)
        .set(b -> b.voterLossMillis = lossMillis)
        .build();
  }

  private Builder copy() {
    return new Builder(this);
  }

  /** Mutable copy of the settings. Not thread-safe. */
  private static final class Builder {

    private final InstanceId self;
    private final List<InstanceId> initialVoters;
    private int heartbeatMillis;
    private int electionMinMillis;
    private int electionMaxMillis;
    private final int clockDriftPercent;
    private int maxBatchBytes;
    private int maxInFlightBytes;
    private final int maxUncommittedBytes;
    private int snapshotChunkBytes;
    private int trailingEntries;
    private final int trailingBytes;
    private boolean automaticReadmission;
    private int targetVoters;
    private int voterLossMillis;

    private Builder(LogSettings settings) {
      self = settings.self;
      initialVoters = settings.initialVoters;
      heartbeatMillis = settings.heartbeatMillis;
      electionMinMillis = settings.electionMinMillis;
      electionMaxMillis = settings.electionMaxMillis;
      clockDriftPercent = settings.clockDriftPercent;
      maxBatchBytes = settings.maxBatchBytes;
      maxInFlightBytes = settings.maxInFlightBytes;
      maxUncommittedBytes = settings.maxUncommittedBytes;
      snapshotChunkBytes = settings.snapshotChunkBytes;
      trailingEntries = settings.trailingEntries;
      trailingBytes = settings.trailingBytes;
      automaticReadmission = settings.automaticReadmission;
      targetVoters = settings.targetVoters;
      voterLossMillis = settings.voterLossMillis;
    }

    private Builder set(Consumer<Builder> change) {
      change.accept(this);
      return this;
    }

    private LogSettings build() {
      return new LogSettings(
          self,
          initialVoters,
          heartbeatMillis,
          electionMinMillis,
          electionMaxMillis,
          clockDriftPercent,
          maxBatchBytes,
          maxInFlightBytes,
          maxUncommittedBytes,
          snapshotChunkBytes,
          trailingEntries,
          trailingBytes,
          automaticReadmission,
          targetVoters,
          voterLossMillis);
    }
  }

  private static void require(boolean condition, String setting) {
    if (!condition) {
      throw new IllegalArgumentException("setting out of range: " + setting);
    }
  }
}
