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
 * Replicated log of a voter together with the registry that its entries are applied to.
 *
 * <p>All state is confined to the log thread. Lifecycle: {@link #start}, {@link #close}.
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
   * Creates the replica from the content of the storage.
   *
   * @param keeperSettings lease durations of the keepers; must be equal on all voters
   * @param random source of election timeouts
   * @param onView called on the log thread after each change of the registry
   * @param onStorageFailure called once if the storage becomes unusable
   * @throws StorageException if the storage cannot be recovered
   * @since 0.1
   */
  public ReplicatedRegistry(
      LogSettings settings,
      KeeperSettings keeperSettings,
      int queueCapacity,
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
            queueCapacity,
            clock.nowMillis(),
            new ReplicatedLog.Dependencies(storage, random, clock, transport, onStorageFailure),
            new RegistryStateMachine());
  }

  /**
   * Starts the threads of the log.
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

  // The following methods may be called from any thread.

  /**
   * Returns the last known leader; null if none is known.
   *
   * @since 0.1
   */
  public InstanceId leader() {
    return log.leader();
  }

  /**
   * Proposes a command on this replica.
   *
   * @return the result once the command is committed and applied; an error of kind UNAVAILABLE if
   *     this replica is not the leader and nothing was proposed, or OUTCOME_UNKNOWN if leadership
   *     was lost before the command was applied
   * @since 0.1
   */
  public Mono<RegistryResult> propose(RegistryCommand command) {
    return Mono.defer(() -> log.propose(codec.write(command)));
  }

  /**
   * Returns the latest configuration changes, oldest first.
   *
   * @since 0.1
   */
  public Mono<List<HistoryEntry>> history(int maxEntries) {
    return log.duty()
        .ask(
            () -> {
              List<HistoryEntry> all = registry.history();
              return all.subList(Math.max(0, all.size() - maxEntries), all.size());
            });
  }

  /**
   * Returns the job records of a home domain. The read is linearizable: it succeeds only while this
   * replica leads under a valid lease, so the result contains every acknowledged record.
   *
   * @since 0.1
   */
  public Mono<List<JobRecord>> jobs(FailureDomainId domain) {
    return log.read(
        () -> registry.jobs().stream().filter(job -> job.domain().equals(domain)).toList());
  }

  /** Adapts the registry to the replicated log. */
  private final class RegistryStateMachine implements ReplicatedStateMachine<RegistryResult> {

    @Override
    public RegistryResult apply(LogEntry entry) throws WireException {
      return registry.apply(codec.readCommand(entry.command()), entry.logMillis());
    }

    @Override
    public Supplier<byte[]> snapshot() {
      // The registry has mutable parts, so it is serialized here on the log thread; the state is
      // small.
      byte[] bytes = codec.write(registry.snapshot());
      return () -> bytes;
    }

    @Override
    public void restore(byte[] state) throws WireException {
      registry.restore(codec.readSnapshot(state));
    }

    /** Publishes the view unless it equals the last one, as it does after a lease renewal. */
    @Override
    public void onApplied(long appliedIndex) {
      RegistryView view =
          new RegistryView(
              appliedIndex, registry.accepted(), registry.switches(), registry.offices());
      if (!view.equalsIgnoringVersion(publishedView)) {
        publishedView = view;
        onView.accept(view);
      }
    }
  }
}
