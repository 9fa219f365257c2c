package org.ragwortmoor;

import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Guards the import directions transport, protocol, coordination, state. */
class LayersTest {
    @Test
    void eachLayerUsesOnlyTheLayersBelow() {
        JavaClasses classes =
                new ClassFileImporter()
                        .withImportOption(new ImportOption.DoNotIncludeTests())
                        .importPackages("org.ragwortmoor");
        layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .withOptionalLayers(true)
                .layer("transport")
                .definedBy("org.ragwortmoor.transport..")
                .layer("protocol")
                .definedBy("org.ragwortmoor.protocol..")
                .layer("coordination")
                .definedBy("org.ragwortmoor.coordination..")
                .layer("state")
                .definedBy("org.ragwortmoor.state..")
                .whereLayer("state")
                .mayNotAccessAnyLayer()
                .whereLayer("coordination")
                .mayOnlyAccessLayers("state")
                .whereLayer("protocol")
                .mayOnlyAccessLayers("coordination", "state")
                .whereLayer("transport")
                .mayOnlyAccessLayers("protocol", "coordination", "state")
                .check(classes);
    }
}
