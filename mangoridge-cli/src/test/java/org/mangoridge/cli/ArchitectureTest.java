package org.mangoridge.cli;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

class ArchitectureTest {

    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.mangoridge");

    @Test
    void packagesHaveNoCycles() {
        slices().matching("org.mangoridge.(**)").should().beFreeOfCycles().check(CLASSES);
    }

    @ParameterizedTest
    @ValueSource(strings = {"org.mangoridge.routing..", "org.mangoridge.dispatch.."})
    void decisionsDoNoInput(String decisions) {
        noClasses()
                .that()
                .resideInAPackage(decisions)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..",
                        "java.net..",
                        "java.nio..",
                        "java.util.concurrent..",
                        "io.netty..",
                        "org.mangoridge.http..",
                        "org.mangoridge.engine..",
                        "org.mangoridge.objects..",
                        "org.mangoridge.gateway..")
                .check(CLASSES);
    }
}
