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
 * First answers to operators' request ids.
 *
 * <p>Single-threaded; lives as long as its registry.
 *
 * @since 0.1
 */
public final class ResultStore {

  private final RegistrySettings settings;
  private final Map<RequestId, RecordedResult> results = new LinkedHashMap<>();

  /** Creates the store that a snapshot holds. */
  public ResultStore(RegistrySettings settings, RegistrySnapshot snapshot) {
    this.settings = settings;
    snapshot.answers().forEach(answer -> results.put(answer.requestId(), answer));
  }

  /** Returns the answers, oldest first. */
  public List<RecordedResult> results() {
    return List.copyOf(results.values());
  }

  /** Returns the answer to a request id that was used before; null when it was not. */
  public RegistryResult find(OperatorCommand command) {
    RecordedResult first = results.get(command.requestId());
    if (first == null) {
      return null;
    }
    boolean isSame = first.command().equals(CommandFingerprint.of(command));
    return isSame ? first.result() : new RequestIdReused(first.command().digest());
  }

  /** Records the first answer to a request id. */
  public void record(OperatorCommand command, RegistryResult result, long logMillis) {
    RecordedResult answer =
        new RecordedResult(command.requestId(), CommandFingerprint.of(command), result, logMillis);
    results.put(command.requestId(), answer);
  }

  /** Drops what is too old or too much. */
  public void expire(long logMillis) {
    Iterator<RecordedResult> oldest = results.values().iterator();
    while (oldest.hasNext()) {
      boolean isOld = oldest.next().logMillis() + settings.resultRetentionMillis() <= logMillis;
      if (!isOld && results.size() <= settings.maxResults()) {
        return;
      }
      oldest.remove();
    }
  }
}
