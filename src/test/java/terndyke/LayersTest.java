package terndyke;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import org.junit.jupiter.api.Test;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;

/** Who may know whom: decisions know only their events, a node knows decisions, the laboratory knows a node, never back. */
class LayersTest {
    private final JavaClasses program = new ClassFileImporter().withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("terndyke");

    @Test
    void decisionsKnowNothingButTheirEvents() {
        noClasses().that().resideInAnyPackage("terndyke.decision..", "terndyke.api..").should().dependOnClassesThat()
                .resideInAnyPackage("terndyke.node..", "terndyke.adapter..", "terndyke.lab..", "java.io..", "java.net..",
                        "java.nio..", "java.time..", "java.util.concurrent..").check(program);
    }

    @Test
    void noNodeKnowsTheLaboratory() {
        noClasses().that().resideOutsideOfPackage("terndyke.lab..").should().dependOnClassesThat()
                .resideInAPackage("terndyke.lab..").check(program);
    }

    @Test
    void theLaboratoryHearsNodesOnlyOverSockets() {
        noClasses().that().resideInAPackage("terndyke.lab..").should().dependOnClassesThat()
                .resideInAnyPackage("terndyke.node..", "terndyke.decision..", "terndyke.adapter..").check(program);
    }

    @Test
    void theReceiversModelAndTheRefereeHaveNoClockAndNoSocket() {
        noClasses().that().resideInAnyPackage("terndyke.lab.model..", "terndyke.lab.referee..").should()
                .dependOnClassesThat().resideInAnyPackage("java.net..", "java.nio..", "java.time..", "org.apache.hc..",
                        "terndyke.lab.wire..", "terndyke.lab.emulate..", "terndyke.lab.run..").check(program);
        noClasses().that().resideInAnyPackage("terndyke.lab.model..", "terndyke.lab.referee..", "terndyke.decision..")
                .should().callMethod(System.class, "nanoTime").orShould().callMethod(System.class, "currentTimeMillis")
                .check(program);
    }
}
