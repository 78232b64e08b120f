package io.pathdeck.testkit;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Dependencies between modules point one way. */
class TestArchitecture {
  @Test
  void modulesDependOneWay() {
    JavaClasses classes =
        new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("io.pathdeck");
    layeredArchitecture()
        .consideringOnlyDependenciesInLayers()
        .layer("common")
        .definedBy("io.pathdeck.common..")
        .layer("protocol")
        .definedBy("io.pathdeck.protocol..")
        .layer("consensus")
        .definedBy("io.pathdeck.consensus..")
        .layer("state")
        .definedBy("io.pathdeck.state..")
        .layer("control")
        .definedBy("io.pathdeck.control..")
        .layer("serving")
        .definedBy("io.pathdeck.serving..")
        .layer("dispatch")
        .definedBy("io.pathdeck.dispatch..")
        .layer("fleet")
        .definedBy("io.pathdeck.fleet..")
        .layer("platform")
        .definedBy("io.pathdeck.platform..")
        .layer("cli")
        .definedBy("io.pathdeck.cli..")
        .layer("testkit")
        .definedBy("io.pathdeck.testkit..")
        .whereLayer("testkit")
        .mayNotBeAccessedByAnyLayer()
        .whereLayer("cli")
        .mayNotBeAccessedByAnyLayer()
        .whereLayer("platform")
        .mayNotBeAccessedByAnyLayer()
        .whereLayer("fleet")
        .mayOnlyBeAccessedByLayers("platform", "cli")
        .whereLayer("dispatch")
        .mayOnlyBeAccessedByLayers("cli", "testkit")
        .whereLayer("serving")
        .mayOnlyBeAccessedByLayers("dispatch", "fleet", "platform", "cli", "testkit")
        .whereLayer("control")
        .mayOnlyBeAccessedByLayers("fleet", "cli", "testkit")
        .whereLayer("state")
        .mayOnlyBeAccessedByLayers("control", "serving", "dispatch", "fleet", "cli", "testkit")
        .whereLayer("consensus")
        .mayOnlyBeAccessedByLayers("state", "control", "fleet", "cli", "testkit")
        .check(classes);
  }
}
