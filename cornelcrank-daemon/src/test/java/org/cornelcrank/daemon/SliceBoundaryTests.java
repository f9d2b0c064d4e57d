package org.cornelcrank.daemon;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchCondition;
import com.tngtech.archunit.lang.conditions.ArchConditions;
import org.junit.jupiter.api.Test;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideOutsideOfPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

/** Verifies the allowed dependencies between the slices, and that the decision code is free of side effects. */
class SliceBoundaryTests {

    private static final String ROOT = "org.cornelcrank.";
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("org.cornelcrank");

    @Test
    void slicesHaveNoCycles() {
        slices().matching("org.cornelcrank.(*)..").should().beFreeOfCycles().check(CLASSES);
    }

    @Test
    void coreDependsOnNoOtherSlice() {
        mayDependOnlyOn("core");
    }

    @Test
    void membershipConfigAndPartitionDependOnlyOnTheCore() {
        mayDependOnlyOn("membership", "core");
        mayDependOnlyOn("config", "core");
        mayDependOnlyOn("partition", "core");
    }

    @Test
    void routingDependsOnlyOnCoreAndConfig() {
        mayDependOnlyOn("routing", "core", "config");
    }

    @Test
    void batchAndCallDoNotDependOnEachOther() {
        mayDependOnlyOn("batch", "core", "config", "partition", "routing");
        mayDependOnlyOn("call", "core", "config", "partition", "routing");
    }

    @Test
    void decisionCodeReadsNoClockAndStartsNoThread() {
        noClasses()
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(Instant.class, "now")
                .orShould()
                .callMethod(Math.class, "random")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .check(CLASSES);
    }

    @Test
    void decisionCodePerformsNoInputOrOutput() {
        noClasses()
                .that()
                .resideOutsideOfPackage("..wire..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.net..", "java.nio.channels..", "java.nio.file..", "io.netty..", "reactor..")
                .check(CLASSES);
    }

    private static void mayDependOnlyOn(String slice, String... others) {
        List<String> allowed = new ArrayList<>(List.of(ROOT + slice + ".."));
        for (String other : others) {
            allowed.add(ROOT + other + "..");
        }
        classes()
                .that()
                .resideInAPackage(ROOT + slice + "..")
                .should(onlyDependOn(allowed))
                .check(CLASSES);
    }

    private static ArchCondition<JavaClass> onlyDependOn(List<String> allowed) {
        return ArchConditions.onlyDependOnClassesThat(
                resideOutsideOfPackage("org.cornelcrank..").or(resideInAnyPackage(allowed.toArray(String[]::new))));
    }
}
