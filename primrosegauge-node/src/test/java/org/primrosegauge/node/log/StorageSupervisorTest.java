package org.primrosegauge.node.log;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.primrosegauge.core.StorageException;
import org.primrosegauge.core.StorageUnavailableException;

/** A storage that fails, and comes back or does not. */
class StorageSupervisorTest {

  private static final StorageException FULL =
      new StorageUnavailableException("no space", "free some", "");
  private static final StorageException FOREIGN =
      new StorageException("belongs to another", "name another folder", "");

  /** Something on the storage. */
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
          this::open, ledger -> ledger.running = true, this::probe, unusable::add);
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

  /** Found on a day with full disks: the process ended itself each time it was started again. */
  @Test
  void ledgerOnFullDiskIsClosedAndOpensAgainWhenTheDiskTakesWrites() {
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
  void ledgerThatFailsAgainAfterItsReturnIsOpenedAgain() {
    for (int i = 0; i < 3; i++) {
      onFailure.accept(FULL);
      run(1_000);
    }
    assertThat(opened).hasSize(4);
    assertThat(supervisor.current().running).isTrue();
    assertThat(opened.stream().filter(ledger -> ledger.running)).hasSize(1);
  }

  @Test
  void instanceStartsOnFullDiskAndWaitsForIt() throws StorageException {
    openError = FULL;
    StorageSupervisor<Resource> late =
        new StorageSupervisor<>(
            this::open, ledger -> ledger.running = true, () -> {}, unusable::add);
    late.open();
    late.start();
    late.tick(now);
    assertThat(late.current()).isNull();
    openError = null;
    late.tick(now + 1_000);
    assertThat(late.current().running).isTrue();
    assertThat(unusable).isEmpty();
  }

  @Test
  void storageThatSomeoneHasToSeeToEndsTheInstance() {
    probeError = FOREIGN;
    onFailure.accept(FULL);
    run(1_000);
    assertThat(unusable).contains(FOREIGN);
  }

  /** A write that is still under way could reach the files of a journal that was opened again. */
  @Test
  void journalThatIsStuckIsNotOpenedAgain() {
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
