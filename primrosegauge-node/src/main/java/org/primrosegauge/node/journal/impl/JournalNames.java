package org.primrosegauge.node.journal.impl;

import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Names of the files in a data folder. Stateless. */
final class JournalNames {

  static final String FORMAT = "format";
  static final String TEMPORARY = ".tmp";

  private static final Pattern SEGMENT = Pattern.compile("segment-([0-9]{16})");
  private static final Pattern SNAPSHOT = Pattern.compile("snapshot-[0-9]{16}-[0-9]{16}");

  private JournalNames() {}

  static String segment(long number) {
    return String.format("segment-%016d", number);
  }

  static String snapshot(SegmentStart start) {
    return String.format(
        "snapshot-%016d-%016d", start.snapshotIndex().number(), start.snapshotTerm().number());
  }

  /** Returns the numbers of the segments among files, in order. */
  static List<Long> segments(List<String> names) {
    return names.stream()
        .map(SEGMENT::matcher)
        .filter(Matcher::matches)
        .map(matcher -> Long.parseLong(matcher.group(1)))
        .sorted()
        .toList();
  }

  /** Tells whether a file is left over from before the first segment and snapshot in use. */
  static boolean isUnused(String name, long firstSegment, String snapshot) {
    Matcher segment = SEGMENT.matcher(name);
    if (segment.matches()) {
      return Long.parseLong(segment.group(1)) < firstSegment;
    }
    return name.endsWith(TEMPORARY) || (SNAPSHOT.matcher(name).matches() && !name.equals(snapshot));
  }
}
