package org.primrosegauge.node.log;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.StorageException;
import org.primrosegauge.core.StorageUnavailableException;

/** Tests the handling of a storage that fails and then recovers, or fails permanently. */
class StorageSupervisorTest {

  private static final StorageException FULL =
      new StorageUnavailableException("no space left on the device", "free some space", "");
  private static final StorageException FOREIGN =
      new StorageException("data folder belongs to another instance", "name another folder", "");

  /** Resource that depends on the storage. */
  private static final class Resource implements AutoCloseable {
    private boolean running;

    @Override
    public void close() {
      running = false;
    }
  }

  private final List<Resource> opened = new ArrayList<>();
  private final List<StorageException> unusable = new ArrayList<>();
  private final StorageSupervisor<Resource> supervisor =
      new StorageSupervisor<>(
          this::open, resource -> resource.running = true, this::probe, unusable::add);
  private Consumer<StorageException> onFailure;
  private StorageException probeError;
  private StorageException openError;
  private long now;

  private Resource open(Consumer<StorageException> failure) throws StorageException {
    onFailure = failure;
    if (openError != null) {
      throw openError;
    }
    opened.add(new Resource());
    return opened.get(opened.size() - 1);
  }

  private void probe() throws StorageException {
    if (probeError != null) {
      throw probeError;
    }
  }

  @BeforeEach
  void start() throws StorageException {
    supervisor.open();
    supervisor.start();
  }

  /** Guards against a crash loop on a full disk: the process exited after each restart. */
  @Test
  void resourceOnFullDiskIsClosedAndReopenedOnceDiskAcceptsWrites() {
    probeError = FULL;
    onFailure.accept(FULL);
    run(5_000);
    assertThat(opened.get(0).running).isFalse();
    assertThat(supervisor.current()).isNull();
    probeError = null;
    run(1_000);
    assertThat(opened).hasSize(2);
    assertThat(supervisor.current()).isSameInstanceAs(opened.get(1));
    assertThat(opened.get(1).running).isTrue();
    assertThat(unusable).isEmpty();
  }

  @Test
  void resourceThatFailsAgainAfterReopeningIsReopened() {
    for (int i = 0; i < 3; i++) {
      onFailure.accept(FULL);
      run(1_000);
    }
    assertThat(opened).hasSize(4);
    assertThat(supervisor.current().running).isTrue();
    assertThat(opened.stream().filter(resource -> resource.running)).hasSize(1);
  }

  @Test
  void instanceStartsOnFullDiskAndWaitsForIt() throws StorageException {
    openError = FULL;
    StorageSupervisor<Resource> lateSupervisor =
        new StorageSupervisor<>(
            this::open, resource -> resource.running = true, () -> {}, unusable::add);
    lateSupervisor.open();
    lateSupervisor.start();
    lateSupervisor.tick(now);
    assertThat(lateSupervisor.current()).isNull();
    openError = null;
    lateSupervisor.tick(now + 1_000);
    assertThat(lateSupervisor.current().running).isTrue();
    assertThat(unusable).isEmpty();
  }

  @Test
  void permanentFailureIsReported() {
    probeError = FOREIGN;
    onFailure.accept(FULL);
    run(1_000);
    assertThat(unusable).contains(FOREIGN);
  }

  /**
   * Guards against reopening a journal with a write in progress, which could write to the files of
   * the reopened journal.
   */
  @Test
  void journalWithBlockedWriteIsNotReopened() {
    onFailure.accept(FOREIGN);
    run(1_000);
    assertThat(opened).hasSize(1);
    assertThat(unusable).containsExactly(FOREIGN);
  }

  private void run(long millis) {
    long end = now + millis;
    while (now < end) {
      now += 250;
      supervisor.tick(now);
    }
  }
}
