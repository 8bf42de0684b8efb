package org.primrosegauge.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Enforces that the core module performs no I/O, reads no clock and starts no thread. */
@AnalyzeClasses(
    packages = "org.primrosegauge.core",
    importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {

  @ArchTest
  static final ArchRule coreDoesNoInputOrOutput =
      noClasses()
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "java.io..",
              "java.nio.channels..",
              "java.nio.file..",
              "java.net..",
              "reactor..",
              "io.netty..",
              "com.fasterxml..",
              "org.primrosegauge.node..",
              "org.primrosegauge.wire..");

  @ArchTest
  static final ArchRule coreReadsNoClockAndStartsNoThread =
      noClasses()
          .should()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(java.time.Instant.class, "now")
          .orShould()
          .dependOnClassesThat()
          .areAssignableTo(Thread.class);
}
