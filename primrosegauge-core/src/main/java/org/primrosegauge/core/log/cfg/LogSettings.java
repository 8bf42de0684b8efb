package org.primrosegauge.core.log.cfg;

import java.util.List;
import java.util.Objects;
import java.util.function.Consumer;
import org.primrosegauge.core.InstanceId;

/**
 * Settings of a replica. Immutable.
 *
 * @param self instance of the replica
 * @param initialVoters instances that start the log together; the first of them to ask does so once
 *     all of them have empty data folders and answer
 * @param heartbeatMillis pause between heartbeats of the leader, in milliseconds
 * @param electionMinMillis shortest silence of the leader before an election, in milliseconds; also
 *     the time for which a follower that heard the leader supports no other
 * @param electionMaxMillis longest such silence, in milliseconds
 * @param clockDriftPercent bound on the difference of the rates of two instances' clocks, in
 *     percent; the lease of a leader is shorter than {@code electionMinMillis} by this
 * @param maxBatchBytes most bytes of entries in a message
 * @param maxInFlightBytes most bytes of entries sent to a follower and not acknowledged
 * @param maxUncommittedBytes most bytes proposed and not committed
 * @param snapshotChunkBytes most bytes of a snapshot in a message
 * @param trailingEntries entries kept in memory behind a snapshot for followers that are a little
 *     late
 * @param automaticReadmission whether the leader readmits a voter that returned with an empty disk,
 *     first as a learner
 * @param targetVoters number of voters up to which the leader promotes any learner; 0 when only
 *     initial voters are promoted
 * @param voterLossMillis silence after which a voter is replaced by a learner, in milliseconds;
 *     used with {@code targetVoters} only
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
  private static final int VOTER_LOSS_MILLIS = 10_000;

  /** Checks the ranges and copies the list. */
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
  }

  /**
   * Returns the settings that suit a site with its instances in a few failure domains.
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
        true,
        0,
        VOTER_LOSS_MILLIS);
  }

  /**
   * Returns how long a leader's lease lasts after a quorum heard it, in milliseconds.
   *
   * @since 0.1
   */
  public long leaseMillis() {
    return electionMinMillis * (100L - clockDriftPercent) / 100;
  }

  /**
   * Returns a copy with other election timings.
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
   * Returns a copy with other bounds on what is sent at once and kept.
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
   * Returns a copy with another rule for voters that return with an empty disk.
   *
   * @since 0.1
   */
  public LogSettings withAutomaticReadmission(boolean readmits) {
    return copy().set(b -> b.automaticReadmission = readmits).build();
  }

  /**
   * Returns a copy in which the leader keeps a number of voters: it promotes learners up to it and
   * replaces voters that stay silent.
   *
   * @param target number of voters
   * @param lossMillis silence after which a voter is replaced, in milliseconds
   * @since 0.2
   */
  public LogSettings withTargetVoters(int target, int lossMillis) {
    return copy()
        .set(b -> b.targetVoters = target)
        .set(b -> b.voterLossMillis = lossMillis)
        .build();
  }

  // Internals

  private Builder copy() {
    return new Builder(this);
  }

  /** Collects changed values. Not thread-safe. */
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
          automaticReadmission,
          targetVoters,
          voterLossMillis);
    }
  }

  private static void require(boolean holds, String setting) {
    if (!holds) {
      throw new IllegalArgumentException("setting out of range: " + setting);
    }
  }
}
