package org.hyssopswitch.app;

import java.util.Optional;
import picocli.CommandLine.IVersionProvider;

/** The version in the program's manifest. */
final class ProgramVersion implements IVersionProvider {

    @Override
    public String[] getVersion() {
        String version = Optional.ofNullable(ProgramVersion.class.getPackage().getImplementationVersion())
                .orElse("development");
        return new String[] {"hyssopswitch " + version};
    }
}
