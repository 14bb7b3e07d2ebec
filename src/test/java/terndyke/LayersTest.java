package terndyke;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import org.junit.jupiter.api.Test;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;

/**
 * Allowed dependencies between the packages: the decision module depends only on its API, the node depends on the decision
 * module, nothing depends on the laboratory, and the laboratory depends on no classes of the node.
 */
class LayersTest {
    private final JavaClasses programClasses = new ClassFileImporter().withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("terndyke");

    @Test
    void decisionsDependOnlyOnTheApi() {
        noClasses().that().resideInAnyPackage("terndyke.decision..", "terndyke.api..").should().dependOnClassesThat()
                .resideInAnyPackage("terndyke.node..", "terndyke.adapter..", "terndyke.lab..", "java.io..", "java.net..",
                        "java.nio..", "java.time..", "java.util.concurrent..").check(programClasses);
    }

    @Test
    void nothingOutsideTheLaboratoryDependsOnIt() {
        noClasses().that().resideOutsideOfPackage("terndyke.lab..").should().dependOnClassesThat()
                .resideInAPackage("terndyke.lab..").check(programClasses);
    }

    @Test
    void theLaboratoryDependsOnNoNodeClasses() {
        noClasses().that().resideInAPackage("terndyke.lab..").should().dependOnClassesThat()
                .resideInAnyPackage("terndyke.node..", "terndyke.decision..", "terndyke.adapter..").check(programClasses);
    }

    @Test
    void modelAndRefereeUseNoClockAndNoSocket() {
        noClasses().that().resideInAnyPackage("terndyke.lab.model..", "terndyke.lab.referee..").should()
                .dependOnClassesThat().resideInAnyPackage("java.net..", "java.nio..", "java.time..", "org.apache.hc..",
                        "terndyke.lab.wire..", "terndyke.lab.emulate..", "terndyke.lab.run..").check(programClasses);
        noClasses().that().resideInAnyPackage("terndyke.lab.model..", "terndyke.lab.referee..", "terndyke.decision..")
                .should().callMethod(System.class, "nanoTime").orShould().callMethod(System.class, "currentTimeMillis")
                .check(programClasses);
    }
}
