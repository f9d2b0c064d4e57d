package org.cornelcrank.server;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.conditions.ArchConditions;
import org.junit.jupiter.api.Test;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.assertj.core.api.Assertions.assertThat;

/** Checks that the platform's wire names occur only in its own module, and that this module makes no decisions. */
class PlatformBoundaryTests {

    private static final Path ROOT = Path.of("..");
    private static final String PLATFORM = "org.cornelcrank.platform..";
    /**
     * In a full build the stand-ins for tests come from jars, whose classes DO_NOT_INCLUDE_TESTS takes for production
     * classes.
     */
    private static final ImportOption NO_STAND_INS = location -> !location.contains("/fake/");

    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .withImportOption(NO_STAND_INS)
            .importPackages("org.cornelcrank");

    /** Header names (words joined by hyphens) and paths (which begin with the version of the API). */
    private static final Pattern WIRE_NAME = Pattern.compile("\"((?:[A-Z][A-Za-z]+-)+[A-Z][A-Za-z]+|/v1/[a-z/-]+)");

    /** Standard HTTP headers, which are not specific to the platform. */
    private static final Set<String> COMMON =
            Set.of("Keep-Alive", "Proxy-Connection", "Retry-After", "Last-Event-Id", "Content-Type");

    /** Fields of the platform's message bodies that are too specific to occur elsewhere by chance. */
    private static final List<String> WIRE_FIELDS = List.of(
            "trafficSplit",
            "targetLatencyMs",
            "targetRunMs",
            "stickySessions",
            "gapAimMs",
            "retentionS",
            "maxHeaderBytes",
            "dead_lettered",
            "coldRemainingMs",
            "hasMore",
            "keyed.");

    @Test
    void onlyGatewayProcessDependsOnThePlatform() {
        noClasses()
                .that()
                .resideOutsideOfPackage(PLATFORM)
                .and()
                .doNotHaveFullyQualifiedName(GatewayProcess.class.getName())
                .should()
                .dependOnClassesThat()
                .resideInAPackage(PLATFORM)
                .check(CLASSES);
    }

    @Test
    void slicesDependOnlyOnTheirAllowedSlices() {
        assertDependsOnlyOn("store", "core");
        assertDependsOnlyOn("gateway", "core", "config", "store");
        assertDependsOnlyOn("job", "core", "store", "gateway", "routing");
    }

    private static void assertDependsOnlyOn(String slice, String... others) {
        Set<String> allowed = new TreeSet<>(Set.of("org.cornelcrank." + slice + ".."));
        for (String other : others) {
            allowed.add("org.cornelcrank." + other + "..");
        }
        classes()
                .that()
                .resideInAPackage("org.cornelcrank." + slice + "..")
                .should(ArchConditions.onlyDependOnClassesThat(
                        JavaClass.Predicates.resideOutsideOfPackage("org.cornelcrank..")
                                .or(JavaClass.Predicates.resideInAnyPackage(allowed.toArray(String[]::new)))))
                .check(CLASSES);
    }

    @Test
    void decisionModulesDoNoInputOrOutput() {
        noClasses()
                .that()
                .resideInAnyPackage("org.cornelcrank.store..", "org.cornelcrank.gateway", "org.cornelcrank.job")
                .and()
                .doNotHaveSimpleName("JobDialect")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.net..", "java.nio.channels..", "java.nio.file..", "io.netty..", "reactor..")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .check(CLASSES);
    }

    @Test
    void platformDependsOnlyOnTheProductsTypes() {
        classes()
                .that()
                .resideInAPackage(PLATFORM)
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        PLATFORM,
                        "org.cornelcrank.core..",
                        "org.cornelcrank.gateway..",
                        "org.cornelcrank.http..",
                        "org.cornelcrank.job..",
                        "java..",
                        "com.fasterxml..",
                        "com.google.protobuf..",
                        "io.netty..",
                        "reactor..",
                        "org.reactivestreams..")
                .check(CLASSES);
    }

    @Test
    void platformMakesNoDecisions() {
        noClasses()
                .that()
                .resideInAPackage(PLATFORM)
                .should()
                .dependOnClassesThat()
                .haveFullyQualifiedName("org.cornelcrank.core.Effects")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("org.cornelcrank.core.StateMachine")
                .orShould()
                .dependOnClassesThat()
                .resideInAPackage("java.util.random..")
                .check(CLASSES);
    }

    @Test
    void platformWireNamesOccurOnlyInThePlatformModule() throws IOException {
        Set<String> names = new TreeSet<>(WIRE_FIELDS);
        for (Path source : sources(ROOT.resolve("platform"))) {
            Matcher matcher = WIRE_NAME.matcher(Files.readString(source));
            while (matcher.find()) {
                names.add(matcher.group(1));
            }
        }
        names.removeAll(COMMON);
        assertThat(names).contains("Request-Id", "Target-Instance", "/v1/lots/");
        Set<String> found = new TreeSet<>();
        for (Path module : modules()) {
            for (Path source : sources(module)) {
                String text = Files.readString(source);
                names.stream()
                        .filter(word -> text.contains('"' + word))
                        .forEach(word -> found.add(source.getFileName() + ": " + word));
            }
        }
        assertThat(found).isEmpty();
    }

    private static List<Path> modules() throws IOException {
        try (Stream<Path> entries = Files.list(ROOT)) {
            return entries.filter(entry -> entry.getFileName().toString().startsWith("cornelcrank-"))
                    .toList();
        }
    }

    private static List<Path> sources(Path module) throws IOException {
        Path main = module.resolve("src/main/java");
        if (!Files.isDirectory(main)) {
            return List.of();
        }
        try (Stream<Path> files = Files.walk(main)) {
            return files.filter(file -> file.toString().endsWith(".java"))
                    .filter(file -> !file.toString().contains("/wire/"))
                    .toList();
        }
    }
}
