package org.primrosegauge.core.registry.impl;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.primrosegauge.core.RequestId;
import org.primrosegauge.core.registry.CommandFingerprint;
import org.primrosegauge.core.registry.RecordedResult;
import org.primrosegauge.core.registry.RegistryCommand.OperatorCommand;
import org.primrosegauge.core.registry.RegistryResult;
import org.primrosegauge.core.registry.RegistryResult.RequestIdReused;
import org.primrosegauge.core.registry.RegistrySnapshot;
import org.primrosegauge.core.registry.cfg.RegistrySettings;

/**
 * Results of operators' commands by request id, so that a repeated command gets the first result.
 *
 * <p>Single-threaded; a registry creates a new store when it restores a snapshot.
 *
 * @since 0.1
 */
public final class ResultStore {

  private final RegistrySettings settings;
  private final Map<RequestId, RecordedResult> results = new LinkedHashMap<>();

  /** Creates a store with the contents of a snapshot. */
  public ResultStore(RegistrySettings settings, RegistrySnapshot snapshot) {
    this.settings = settings;
    snapshot.answers().forEach(result -> results.put(result.requestId(), result));
  }

  /** Returns the recorded results, oldest first. */
  public List<RecordedResult> results() {
    return List.copyOf(results.values());
  }

  /**
   * Returns the recorded result of a request id; {@link RequestIdReused} when it was used for a
   * different command, and null when it was not used before.
   */
  public RegistryResult find(OperatorCommand command) {
    RecordedResult first = results.get(command.requestId());
    if (first == null) {
      return null;
    }
    boolean isSame = first.command().equals(CommandFingerprint.of(command));
    return isSame ? first.result() : new RequestIdReused(first.command().digest());
  }

  /** Records the result of the first command with a request id. */
  public void record(OperatorCommand command, RegistryResult result, long logMillis) {
    RecordedResult recorded =
        new RecordedResult(command.requestId(), CommandFingerprint.of(command), result, logMillis);
    results.put(command.requestId(), recorded);
  }

  /** Removes results past the retention period, and the oldest ones above the limit. */
  public void expire(long logMillis) {
    Iterator<RecordedResult> oldest = results.values().iterator();
    while (oldest.hasNext()) {
      boolean isExpired = oldest.next().logMillis() + settings.resultRetentionMillis() <= logMillis;
      if (!isExpired && results.size() <= settings.maxResults()) {
        return;
      }
      oldest.remove();
    }
  }
}
