package org.primrosegauge.node.log;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.primrosegauge.core.FailureDomainId;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.StorageException;
import org.primrosegauge.core.keeper.cfg.KeeperSettings;
import org.primrosegauge.core.log.LogEntry;
import org.primrosegauge.core.log.cfg.LogSettings;
import org.primrosegauge.core.registry.ConfigurationRegistry;
import org.primrosegauge.core.registry.HistoryEntry;
import org.primrosegauge.core.registry.JobRecord;
import org.primrosegauge.core.registry.RegistryCommand;
import org.primrosegauge.core.registry.RegistryResult;
import org.primrosegauge.core.registry.cfg.RegistrySettings;
import org.primrosegauge.node.duty.MonotonicClock;
import org.primrosegauge.node.transport.PeerTransport;
import org.primrosegauge.wire.WireException;
import reactor.core.publisher.Mono;

/**
 * The replicated log of a voter with the registry that it is applied to.
 *
 * <p>All state is touched on the log thread only. Lifecycle: {@link #start}, {@link #close}.
 *
 * @since 0.1
 */
public final class ReplicatedRegistry implements AutoCloseable {

  private final ReplicatedLog<RegistryResult> log;
  private final Consumer<RegistryView> onView;
  private final RegistryCodec codec = new RegistryCodec();
  private final ConfigurationRegistry registry;
  private RegistryView publishedView = RegistryView.NONE;

  /**
   * Creates the duty from what the storage holds.
   *
   * @param keeperSettings lengths of the keepers' leases; equal on all voters
   * @param random source of election timeouts
   * @param onView told of each change of the registry, on the log thread
   * @param onStorageFailure told once when the storage becomes unusable
   * @throws StorageException when the storage cannot be recovered
   * @since 0.1
   */
  public ReplicatedRegistry(
      LogSettings settings,
      KeeperSettings keeperSettings,
      int ringCapacity,
      LogStorage storage,
      RandomGenerator random,
      MonotonicClock clock,
      PeerTransport transport,
      Consumer<RegistryView> onView,
      Consumer<StorageException> onStorageFailure)
      throws StorageException {
    this.onView = onView;
    this.registry = new ConfigurationRegistry(RegistrySettings.DEFAULT, keeperSettings);
    this.log =
        new ReplicatedLog<>(
            settings,
            ringCapacity,
            clock.nowMillis(),
            new ReplicatedLog.Dependencies(storage, random, clock, transport, onStorageFailure),
            new RegistryStateMachine());
  }

  /**
   * Starts its threads.
   *
   * @since 0.1
   */
  public void start() {
    log.start();
  }

  @Override
  public void close() {
    log.close();
  }

  // Accessors; may be called from any thread

  /**
   * Returns the leader, as known; null when none is known.
   *
   * @since 0.1
   */
  public InstanceId leader() {
    return log.leader();
  }

  // Main API; may be called from any thread

  /**
   * Proposes a command at this replica.
   *
   * @return the result once it is committed and applied; an error of kind UNAVAILABLE when this
   *     replica does not lead, so that nothing was proposed; OUTCOME_UNKNOWN when leadership was
   *     lost meanwhile
   * @since 0.1
   */
  public Mono<RegistryResult> propose(RegistryCommand command) {
    return Mono.defer(() -> log.propose(codec.write(command)));
  }

  /**
   * Returns the latest changes of the configuration, oldest first.
   *
   * @since 0.1
   */
  public Mono<List<HistoryEntry>> history(int most) {
    return log.duty()
        .ask(
            () -> {
              List<HistoryEntry> all = registry.history();
              return all.subList(Math.max(0, all.size() - most), all.size());
            });
  }

  /**
   * Returns the job records of a home domain, once this replica leads under a valid lease: nothing
   * that was acknowledged is missing from them.
   *
   * @since 0.1
   */
  public Mono<List<JobRecord>> jobs(FailureDomainId domain) {
    return log.read(
        () -> registry.jobs().stream().filter(job -> job.domain().equals(domain)).toList());
  }

  /** The registry as the state of the log. */
  private final class RegistryStateMachine implements ReplicatedStateMachine<RegistryResult> {

    @Override
    public RegistryResult apply(LogEntry entry) throws WireException {
      return registry.apply(codec.readCommand(entry.command()), entry.logMillis());
    }

    @Override
    public Supplier<byte[]> snapshot() {
      // Parts of the registry's state change in place, so it is written here; it is small.
      byte[] bytes = codec.write(registry.snapshot());
      return () -> bytes;
    }

    @Override
    public void restore(byte[] state) throws WireException {
      registry.restore(codec.readSnapshot(state));
    }

    /** Publishes the view unless it equals the last one, as after the renewal of a lease. */
    @Override
    public void onApplied(long applied) {
      RegistryView view =
          new RegistryView(applied, registry.accepted(), registry.switches(), registry.offices());
      if (!view.equalsIgnoringVersion(publishedView)) {
        publishedView = view;
        onView.accept(view);
      }
    }
  }
}
