package org.primrosegauge.core.log;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.primrosegauge.core.InstanceId;
import org.primrosegauge.core.RequestId;
import org.primrosegauge.core.Revision;
import org.primrosegauge.core.keeper.cfg.KeeperSettings;
import org.primrosegauge.core.registry.ConfigurationRegistry;
import org.primrosegauge.core.registry.ContentDigest;
import org.primrosegauge.core.registry.RegistryCommand.ApplyConfiguration;
import org.primrosegauge.core.registry.RegistryResult;
import org.primrosegauge.core.registry.RegistrySnapshot;
import org.primrosegauge.core.registry.cfg.RegistrySettings;

/**
 * The production registry, with commands encoded as text and snapshots stored in a shared table.
 */
final class SimulatedRegistry {

  // Serialization belongs to the node module, so the bytes of a snapshot are a key of this table.
  private static final Map<String, RegistrySnapshot> SNAPSHOTS = new HashMap<>();
  private static final List<String> KEYS = new ArrayList<>();
  private static final int KEY_PADDING = 120;

  private final InstanceId instance;
  private final LogInvariants invariants;
  private final ConfigurationRegistry registry =
      new ConfigurationRegistry(RegistrySettings.DEFAULT, KeeperSettings.DEFAULT);

  SimulatedRegistry(InstanceId instance, LogInvariants invariants) {
    this.instance = instance;
    this.invariants = invariants;
  }

  static byte[] encode(RequestId id, Revision expected, String content) {
    return (id + " " + expected + " " + content).getBytes(StandardCharsets.UTF_8);
  }

  void apply(LogEntry entry) {
    String[] parts = new String(entry.command(), StandardCharsets.UTF_8).split(" ", 3);
    RequestId id = new RequestId(parts[0]);
    Revision expected = new Revision(Long.parseLong(parts[1]));
    RegistryResult result =
        registry.apply(
            new ApplyConfiguration(
                id, expected, ContentDigest.of(parts[2]), parts[2], instance.value()),
            entry.logMillis());
    invariants.checkResult(id, result);
    invariants.checkRevision(instance, registry.accepted().revision());
  }

  byte[] snapshot() {
    String key = "snapshot " + KEYS.size() + " ".repeat(KEY_PADDING);
    KEYS.add(key);
    SNAPSHOTS.put(key, registry.snapshot());
    return key.getBytes(StandardCharsets.UTF_8);
  }

  void restore(byte[] state) {
    registry.restore(SNAPSHOTS.get(new String(state, StandardCharsets.UTF_8)));
    invariants.checkRevision(instance, registry.accepted().revision());
  }
}
