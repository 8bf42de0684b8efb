package org.primrosegauge.node.daemon;

import java.nio.file.Path;
import org.primrosegauge.core.PrimrosegaugeException;
import org.primrosegauge.node.cfg.NodeSettingsReader;

/**
 * Runs one instance without the command line, for launchers that want the smallest process.
 *
 * @since 0.1
 */
public final class InstanceMain {

  private static final int FAILED = 1;
  private static final int USAGE = 2;

  private InstanceMain() {}

  /**
   * Entry point.
   *
   * @param args path of the settings file
   * @since 0.1
   */
  public static void main(String[] args) {
    if (args.length != 1) {
      System.err.println("usage: InstanceMain SETTINGS_FILE");
      System.exit(USAGE);
    }
    try {
      InstanceRunner.run(NodeSettingsReader.read(Path.of(args[0])));
    } catch (PrimrosegaugeException e) {
      System.err.println(e.getMessage());
      System.exit(FAILED);
    }
  }
}
