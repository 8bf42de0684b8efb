package org.primrosegauge.core.request.impl;

import java.util.ArrayList;
import java.util.List;
import org.primrosegauge.core.request.CountedReason;
import org.primrosegauge.core.request.RequestAction;

/**
 * Collects the actions that one event leads to.
 *
 * @since 0.1
 */
public final class Outbox {

  private List<RequestAction> actions = new ArrayList<>();

  /** Adds an action. */
  public void add(RequestAction action) {
    actions.add(action);
  }

  /** Adds a count. */
  public void count(CountedReason reason) {
    add(new RequestAction.Count(reason));
  }

  /** Returns the actions in order and starts anew. */
  public List<RequestAction> take() {
    List<RequestAction> taken = actions;
    actions = new ArrayList<>();
    return taken;
  }
}
