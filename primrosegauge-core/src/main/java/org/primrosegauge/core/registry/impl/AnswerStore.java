package org.primrosegauge.core.registry.impl;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.primrosegauge.core.RequestId;
import org.primrosegauge.core.registry.CommandFingerprint;
import org.primrosegauge.core.registry.RecordedAnswer;
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
public final class AnswerStore {

  private final RegistrySettings settings;
  private final Map<RequestId, RecordedAnswer> answers = new LinkedHashMap<>();

  /** Creates the store that a snapshot holds. */
  public AnswerStore(RegistrySettings settings, RegistrySnapshot snapshot) {
    this.settings = settings;
    snapshot.answers().forEach(answer -> answers.put(answer.requestId(), answer));
  }

  /** Returns the answers, oldest first. */
  public List<RecordedAnswer> answers() {
    return List.copyOf(answers.values());
  }

  /** Returns the answer to a request id that was used before; null when it was not. */
  public RegistryResult find(OperatorCommand command) {
    RecordedAnswer first = answers.get(command.requestId());
    if (first == null) {
      return null;
    }
    boolean isSame = first.command().equals(CommandFingerprint.of(command));
    return isSame ? first.result() : new RequestIdReused(first.command().digest());
  }

  /** Records the first answer to a request id. */
  public void record(OperatorCommand command, RegistryResult result, long logMillis) {
    RecordedAnswer answer =
        new RecordedAnswer(command.requestId(), CommandFingerprint.of(command), result, logMillis);
    answers.put(command.requestId(), answer);
  }

  /** Drops what is too old or too much. */
  public void expire(long logMillis) {
    Iterator<RecordedAnswer> oldest = answers.values().iterator();
    while (oldest.hasNext()) {
      boolean isOld = oldest.next().logMillis() + settings.answerMillis() <= logMillis;
      if (!isOld && answers.size() <= settings.maxAnswers()) {
        return;
      }
      oldest.remove();
    }
  }
}
