package org.cornelcrank.server;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.cornelcrank.http.StrictResponses;
import org.junit.jupiter.api.Test;
import reactor.netty.http.client.HttpClient;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;

/** Guards against a client that forwards or believes malformed responses, as it was created without the check. */
class StrictClientsTests {

    private static final ImportOption NO_STAND_INS =
            location -> !location.contains("/fake/") && !location.contains("/standin/");

    private static final DescribedPredicate<JavaClass> CREATES_A_CLIENT =
            DescribedPredicate.describe("create an HTTP client", type -> type.getMethodCallsFromSelf().stream()
                    .anyMatch(call -> call.getTargetOwner().isEquivalentTo(HttpClient.class)
                            && (call.getName().equals("create")
                                    || call.getName().equals("newConnection"))));

    @Test
    void everyHttpClientAcceptsOnlyStrictResponses() {
        classes()
                .that(CREATES_A_CLIENT)
                .should()
                .dependOnClassesThat()
                .belongToAnyOf(StrictResponses.class)
                .check(new ClassFileImporter()
                        .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                        .withImportOption(NO_STAND_INS)
                        .importPackages("org.cornelcrank"));
    }
}
