package org.toucanmast.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

@AnalyzeClasses(
    packages = "org.toucanmast.core",
    importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {

  @ArchTest
  static final ArchRule should_use_no_network_library =
      noClasses()
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("io.vertx..", "io.netty..", "java.net.http..", "java.nio.channels..");

  @ArchTest
  static final ArchRule should_start_no_thread =
      noClasses()
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("java.util.concurrent..")
          .orShould()
          .accessClassesThat()
          .areAssignableTo(Thread.class);

  @ArchTest
  static final ArchRule should_read_no_clock =
      noClasses()
          .should()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .callMethod(java.time.Instant.class, "now");
}
